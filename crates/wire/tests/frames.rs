//! Frames from outside.

use proptest::prelude::*;
use wire::{Body, Envelope, ReceiptBatch, ReceiptEntry};

proptest! {
    #![proptest_config(ProptestConfig { cases: 20_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_decode_or_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(envelope) = Envelope::decode_frame(&bytes) {
            let again = Envelope::decode_frame(&envelope.encode_frame());
            prop_assert_eq!(again.unwrap(), envelope);
        }
    }

    #[test]
    fn messages_come_back_as_they_were(from in any::<u64>(), batch in any::<u64>(), json in prop::collection::vec(any::<u8>(), 0..50)) {
        let hold = ReceiptBatch { batch, saved_batch: batch / 2, receipts: vec![ReceiptEntry { json }] };
        let envelope = Envelope::new(from, Body::ReceiptBatch(hold));
        prop_assert_eq!(Envelope::decode_frame(&envelope.encode_frame()).unwrap(), envelope);
    }
}
