//! What makes requests the same, also if they arrive at several instances.

use std::fmt;
use std::sync::Arc;

use relay::Request;
use xxhash_rust::xxh3::Xxh3;

use crate::request::RequestInfo;

/// Identity of a request by its content, and the prompt parts that it shares with others.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct RequestKey {
    /// Hash of method, host, target, caller, prompt and body. It is the same on all instances, and for
    /// a repetition of the request under another id.
    pub(crate) content: u64,
    /// Hashes of the prompt parts that other requests may have, in order.
    pub(crate) shared_parts: Arc<[u64]>,
}

impl RequestKey {
    /// Returns the key of a request from the workspace named `caller`.
    pub(crate) fn of(info: &RequestInfo, inbound: &Request, caller: Option<&str>) -> RequestKey {
        let key = info.key.as_deref();
        let mut content = Xxh3::new();
        let fields = [
            &*inbound.head.method,
            &*info.host,
            &*inbound.head.target,
            caller.or(key).unwrap_or_default(),
        ];
        for field in fields {
            content.update(&(field.len() as u64).to_le_bytes());
            content.update(field.as_bytes());
        }
        for part in &info.prompt_parts {
            content.update(&part.id.to_le_bytes());
        }
        content.update(&inbound.body);
        let shared = match info.prompt_parts.split_last() {
            Some((_, shared)) => shared,
            None => &[],
        };
        RequestKey {
            content: content.digest(),
            shared_parts: shared.iter().map(|part| part.id).collect(),
        }
    }
}

impl fmt::Debug for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for part in self.shared_parts.iter() {
            write!(f, "{part:x},")?;
        }
        write!(f, "{:x}", self.content)
    }
}
