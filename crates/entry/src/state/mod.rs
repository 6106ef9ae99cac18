//! What the traffic threads and the control thread share, and hand to one another.

pub(crate) mod convert;
pub(crate) mod exposure;
pub(crate) mod holdings;
pub(crate) mod key;
pub(crate) mod keyed;
pub(crate) mod messages;
pub(crate) mod quota;
pub(crate) mod recorder;
pub(crate) mod shared;
pub(crate) mod tape;
pub(crate) mod view;
