//! Buffers of message bodies.

use relay::BodyBuffer;

/// Guards against bytes that are lost or repeated when a body moves from the heap to a mapping.
#[test]
fn a_body_keeps_its_bytes_while_it_grows() {
    let mut buffer = BodyBuffer::default();
    let mut expected = Vec::new();
    for part in 0..100_u8 {
        let bytes = vec![part; 3_001];
        buffer.extend_from_slice(&bytes);
        expected.extend_from_slice(&bytes);
        assert_eq!(buffer.len(), expected.len());
    }
    assert_eq!(buffer.freeze(), expected);
}
