//! Wire messages of objects, kept for large ones so that each is encoded once for all peers.

use std::collections::BTreeMap;
use std::sync::Arc;

use catalog::Object;
use wire::ObjectEntry;

use crate::convert::object_to_wire;

/// The size from which a value is compressed, in bytes. Smaller ones fit into a few packets.
const MIN_COMPRESSED_BYTES: usize = 4 << 10;

/// Wire messages of the latest revisions of large objects.
#[derive(Debug, Default)]
pub(crate) struct EncodedObjects {
    by_path: BTreeMap<Arc<str>, ObjectEntry>,
}

impl EncodedObjects {
    /// Converts an object to its wire message, with a large value compressed.
    pub(crate) fn encode(&mut self, object: &Object) -> ObjectEntry {
        let kept = self.by_path.get(&object.path);
        if let Some(entry) = kept.filter(|entry| entry.revision == object.revision) {
            return entry.clone();
        }
        let mut entry = object_to_wire(object);
        let Some(value) = entry
            .value
            .take_if(|value| value.len() >= MIN_COMPRESSED_BYTES)
        else {
            return entry;
        };
        match wire::compress(&value) {
            Ok(compressed) => {
                entry.compressed_value = Some(compressed);
                self.by_path.insert(object.path.clone(), entry.clone());
            }
            Err(err) => {
                tracing::warn!(path = &*object.path, error = %err, "config: value not compressed");
                entry.value = Some(value);
            }
        }
        entry
    }
}
