//! Names of fleets in messages.

use wire::{Body, Envelope, Fetch};

/// The name of the receiver's fleet, that of the sender's, and whether the message is refused.
const CASES: &[(&str, &str, bool)] = &[
    ("a", "a", false),
    ("a", "b", true),
    ("a", "", false),
    ("", "a", false),
    ("", "", false),
];

#[test]
fn messages_of_fleets_with_another_name_are_refused() {
    for (own, sender, refused) in CASES {
        let envelope = Envelope::new(1, Body::Fetch(Fetch::default())).in_fleet(sender);
        let decoded = Envelope::decode_frame(&envelope.encode_frame()).unwrap();
        assert_eq!(
            decoded.is_from_other_fleet(own),
            *refused,
            "from {sender:?} to {own:?}"
        );
    }
}
