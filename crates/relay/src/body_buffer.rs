//! A growing buffer of one message body.

use bytes::Bytes;
use memmap2::MmapMut;

/// Size from which a buffer is a mapping of its own, in bytes.
///
/// glibc takes blocks of up to 32 MB from its heap once a block of that size was freed. Small blocks that are
/// allocated in the gaps then keep freed bodies resident: 300 responses of 256 KB left up to 12 MB more resident
/// than the account held. A mapping returns to the system when it is dropped.
const MAPPED_BYTES: usize = 64 << 10;

/// The bytes of a body that were received so far.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    length: usize,
    memory: Memory,
}

#[derive(Debug)]
enum Memory {
    Heap(Vec<u8>),
    Mapped(MmapMut),
}

impl Default for Memory {
    fn default() -> Memory {
        Memory::Heap(Vec::new())
    }
}

/// The received part of a mapping.
struct MappedBody {
    map: MmapMut,
    length: usize,
}

impl AsRef<[u8]> for MappedBody {
    fn as_ref(&self) -> &[u8] {
        &self.map[..self.length]
    }
}

impl BodyBuffer {
    /// Returns the number of bytes received.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no bytes were received.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the allocated size, in bytes.
    pub fn capacity(&self) -> usize {
        match &self.memory {
            Memory::Heap(bytes) => bytes.capacity(),
            Memory::Mapped(map) => map.len(),
        }
    }

    /// Allocates this many bytes in all, unless there are as many already.
    pub fn reserve_total(&mut self, capacity: usize) {
        if capacity <= self.capacity() {
            return;
        }
        let map = (capacity >= MAPPED_BYTES).then(|| MmapMut::map_anon(capacity));
        // If mappings are used up, the heap serves as well.
        if let Some(Ok(mut map)) = map {
            map[..self.length].copy_from_slice(self.as_slice());
            self.memory = Memory::Mapped(map);
            return;
        }
        match &mut self.memory {
            Memory::Heap(bytes) => bytes.reserve_exact(capacity - bytes.len()),
            Memory::Mapped(map) => {
                let mut bytes = Vec::with_capacity(capacity);
                bytes.extend_from_slice(&map[..self.length]);
                self.memory = Memory::Heap(bytes);
            }
        }
    }

    /// Appends bytes. Doubles the allocated size if it is too small.
    pub fn extend_from_slice(&mut self, bytes: &[u8]) {
        let length = self.length + bytes.len();
        if length > self.capacity() {
            self.reserve_total(length.max(2 * self.capacity()));
        }
        match &mut self.memory {
            Memory::Heap(memory) => memory.extend_from_slice(bytes),
            Memory::Mapped(map) => map[self.length..length].copy_from_slice(bytes),
        }
        self.length = length;
    }

    /// Returns the bytes received, without a copy.
    pub fn freeze(self) -> Bytes {
        match self.memory {
            Memory::Heap(bytes) => bytes.into(),
            Memory::Mapped(map) => Bytes::from_owner(MappedBody {
                map,
                length: self.length,
            }),
        }
    }

    fn as_slice(&self) -> &[u8] {
        match &self.memory {
            Memory::Heap(bytes) => bytes,
            Memory::Mapped(map) => &map[..self.length],
        }
    }
}
