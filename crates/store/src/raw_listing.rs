//! Listings and lists whose entries are decoded one by one.

use std::sync::Arc;

use catalog::Object;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::value::RawValue;

use crate::api::Listing;

/// A list in which other writers may have stored entries that cannot be decoded.
#[derive(Debug, Deserialize)]
pub(crate) struct RawList(Vec<Box<RawValue>>);

impl RawList {
    /// Decodes the entries, and leaves out those that are unreadable.
    pub(crate) fn decode<T: DeserializeOwned>(self) -> Vec<T> {
        let mut entries = Vec::new();
        for raw in self.0 {
            match serde_json::from_str(raw.get()) {
                Ok(entry) => entries.push(entry),
                Err(err) => tracing::warn!(error = %err, "store: unreadable entry"),
            }
        }
        entries
    }
}

/// A listing in which other writers may have stored values that cannot be decoded.
#[derive(Debug, Deserialize)]
pub(crate) struct RawListing {
    revision: u64,
    #[serde(default)]
    era: u64,
    objects: Vec<Box<RawValue>>,
}

#[derive(Debug, Deserialize)]
struct RawObject {
    path: Arc<str>,
    revision: u64,
    value: Option<Box<RawValue>>,
}

impl RawListing {
    /// Decodes the objects. An unreadable value counts as null, which no declaration accepts.
    pub(crate) fn decode(self) -> Listing {
        let mut objects = Vec::new();
        for raw in self.objects {
            match serde_json::from_str::<RawObject>(raw.get()) {
                Ok(object) => objects.push(object.decode()),
                Err(err) => tracing::warn!(error = %err, "store: unreadable object"),
            }
        }
        Listing {
            revision: self.revision,
            era: self.era,
            objects,
        }
    }
}

impl RawObject {
    fn decode(self) -> Object {
        let decode_value = |raw: Box<RawValue>| {
            serde_json::from_str(raw.get()).unwrap_or_else(|err| {
                tracing::warn!(path = &*self.path, error = %err, "store: unreadable value");
                Value::Null
            })
        };
        Object {
            value: self.value.map(decode_value),
            path: self.path,
            revision: self.revision,
        }
    }
}
