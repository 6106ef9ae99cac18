//! What makes requests the same, also if they arrive at several instances.

use std::fmt;
use std::sync::Arc;

use limits::Subject;
use relay::Request;
use xxhash_rust::xxh3::Xxh3;

use crate::request::RequestInfo;

/// Identity of a request by its content, and the prompt parts that it shares with others.
///
/// The content is a hash of method, host, target, caller, prompt and body. It is the same on all
/// instances, and for a repetition of the request under another id.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct RequestKey {
    /// The request by its content, then the prompt parts that other requests may have, in order.
    subjects: Arc<[Subject]>,
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
        let mut subjects = vec![Subject::Request(content.digest())];
        if let Some((_, shared)) = info.prompt_parts.split_last() {
            subjects.extend(shared.iter().map(|part| Subject::Part(part.id)));
        }
        RequestKey {
            subjects: subjects.into(),
        }
    }

    /// Returns what may crash an endpoint that the request has reached.
    pub(crate) fn subjects(&self) -> &[Subject] {
        &self.subjects
    }

    /// Returns whether both keys are of the same request.
    pub(crate) fn is_same_request(&self, other: &RequestKey) -> bool {
        self.subjects[0] == other.subjects[0]
    }
}

impl fmt::Debug for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for subject in self.subjects.iter() {
            match subject {
                Subject::Request(content) => write!(f, "{content:x}")?,
                Subject::Part(part) => write!(f, ",{part:x}")?,
            }
        }
        Ok(())
    }
}
