//! Encoding and decoding of frames, and decoding of arbitrary bytes.

use proptest::prelude::*;
use wire::{Body, Envelope, ReceiptBatch, ReceiptEntry};

proptest! {
    #![proptest_config(ProptestConfig { cases: 20_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_decode_or_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(envelope) = Envelope::decode_frame(&bytes) {
            let decoded = Envelope::decode_frame(&envelope.encode_frame());
            prop_assert_eq!(decoded.unwrap(), envelope);
        }
    }

    #[test]
    fn messages_round_trip(from in any::<u64>(), batch in any::<u64>(), json in prop::collection::vec(any::<u8>(), 0..50)) {
        let message = ReceiptBatch { batch, saved_batch: batch / 2, receipts: vec![ReceiptEntry { json }] };
        let envelope = Envelope::new(from, Body::ReceiptBatch(message));
        prop_assert_eq!(Envelope::decode_frame(&envelope.encode_frame()).unwrap(), envelope);
    }
}
