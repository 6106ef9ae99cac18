//! Verification of valid, expired, altered and malformed tokens.

use catalog::{KeyRing, SigningKey};
use proptest::prelude::*;
use session::{Session, SessionError};

fn ring(ids: &[&str]) -> KeyRing {
    let key = |id: &&str| SigningKey {
        id: (*id).into(),
        secret_hex: format!("{:02x}", id.len()).into(),
    };
    KeyRing {
        keys: ids.iter().map(key).collect(),
    }
}

fn session() -> Session {
    Session {
        workspace: "w".into(),
        model: "m".into(),
        version: "v1".into(),
        expires_ms: 100,
    }
}

#[test]
fn a_token_survives_one_key_rotation_but_not_two() {
    let token = session().sign(&ring(&["a"])).unwrap();
    assert_eq!(
        Session::verify(&token, &ring(&["bb", "a"]), 99),
        Ok(session())
    );
    assert_eq!(
        Session::verify(&token, &ring(&["ccc", "bb"]), 99),
        Err(SessionError::UnknownKey)
    );
    assert_eq!(
        Session::verify(&token, &ring(&["a"]), 100),
        Err(SessionError::Expired)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 20_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_text_is_rejected(text in ".{0,200}") {
        prop_assert!(Session::verify(&text, &ring(&["a"]), 0).is_err());
    }

    #[test]
    fn a_changed_byte_is_rejected(at in any::<prop::sample::Index>(), byte in 33u8..127) {
        let token = session().sign(&ring(&["a"])).unwrap();
        let mut bytes = token.clone().into_bytes();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        let changed = String::from_utf8(bytes).unwrap();
        let same_hex = changed.eq_ignore_ascii_case(&token);
        prop_assert!(same_hex || Session::verify(&changed, &ring(&["a"]), 0).is_err());
    }
}
