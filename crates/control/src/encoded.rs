//! Wire messages of objects, kept for large ones so that each is encoded once for all peers.

use std::collections::BTreeMap;
use std::sync::Arc;

use catalog::Object;
use wire::ObjectEntry;

use crate::convert::object_to_wire;

/// The size from which a value is compressed, in bytes. Smaller ones fit into a few packets.
const MIN_COMPRESSED_BYTES: usize = 4 << 10;

/// The wire message of an object of one era.
#[derive(Debug)]
struct Encoded {
    era: u64,
    entry: ObjectEntry,
}

/// Wire messages of the latest revisions of large objects.
#[derive(Debug, Default)]
pub(crate) struct EncodedObjects {
    by_path: BTreeMap<Arc<str>, Encoded>,
}

impl EncodedObjects {
    /// Converts an object of an era to its wire message, with a large value compressed.
    pub(crate) fn encode(&mut self, era: u64, object: &Object) -> ObjectEntry {
        if let Some(kept) = self.by_path.get(&object.path)
            && kept.era == era
            && kept.entry.revision == object.revision
        {
            return kept.entry.clone();
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
                let kept = Encoded {
                    era,
                    entry: entry.clone(),
                };
                self.by_path.insert(object.path.clone(), kept);
            }
            Err(err) => {
                tracing::warn!(path = &*object.path, error = %err, "config: value not compressed");
                entry.value = Some(value);
            }
        }
        entry
    }
}
