//! Names in request targets.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, percent_encode};

/// Bytes that are encoded: all but the unreserved ones of RFC 3986.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Encodes a name for a segment of a path or a value in a query. It need not be UTF-8.
///
/// # Examples
///
/// ```
/// assert_eq!(store::encode_name(b"a b/c").to_string(), "a%20b%2Fc");
/// ```
pub fn encode_name(name: &[u8]) -> PercentEncode<'_> {
    percent_encode(name, RESERVED)
}
