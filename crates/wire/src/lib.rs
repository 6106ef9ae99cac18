//! Messages between entry instances, and their framing.
//!
//! Messages are `prost` types with derived codecs, so that the build needs no code generator. A
//! frame is a length prefix followed by one encoded [`Envelope`].
//!
//! # Examples
//!
//! ```
//! use wire::{Body, Envelope, Fetch};
//!
//! let envelope = Envelope::new(7, Body::Fetch(Fetch::default()));
//! let bytes = envelope.encode_frame();
//! assert_eq!(Envelope::decode_frame(&bytes).unwrap(), envelope);
//! ```

mod compression;
mod identity;
mod link;
mod message;

pub use compression::{compress, decompress};
pub use identity::Identity;
pub use link::{Link, LinkError, MAX_FRAME_BYTES};
pub use message::{
    AcceptReply, Ack, Body, ClassOutcomes, ColdEndpoint, ConfigDigest, CrashReport, CutOff, Demand,
    EndpointInfo, EndpointLimit, Envelope, EvidenceReport, Fetch, LoadReport, MemberInfo,
    ObjectEntry, Objects, Ping, ReceiptBatch, ReceiptEntry, VersionReport,
};
