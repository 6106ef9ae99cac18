//! Signed session tokens, which any instance verifies without shared state.
//!
//! A token binds a workspace's session to one version of a model until it expires.
//!
//! # Examples
//!
//! ```
//! use catalog::{KeyRing, SigningKey};
//! use session::Session;
//!
//! let ring = KeyRing { keys: vec![SigningKey { id: "k1".into(), secret_hex: "00ff".into() }] };
//! let session = Session {
//!     workspace: "gate".into(),
//!     model: "summary".into(),
//!     version: "summary-s1".into(),
//!     expires_ms: 1_000,
//! };
//! let token = session.sign(&ring).unwrap();
//! assert_eq!(Session::verify(&token, &ring, 999).unwrap(), session);
//! ```

mod token;

pub use token::{Session, SessionError};
