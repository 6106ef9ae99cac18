//! Whether a response goes on with a stream that another endpoint began.

use relay::ResponseHead;

/// Returns why a response cannot go on with a stream that began with the head `first`, or `None` if it can.
pub(crate) fn continuation_mismatch(first: &ResponseHead, next: &ResponseHead) -> Option<String> {
    if next.status != first.status {
        return Some(format!("status {} after {}", next.status, first.status));
    }
    let (expected, found) = media_type(first).zip(media_type(next))?;
    let matches = found.eq_ignore_ascii_case(expected);
    (!matches).then(|| format!("content type \"{found}\" after \"{expected}\""))
}

/// Returns the content type of a response without its parameters.
fn media_type(head: &ResponseHead) -> Option<&str> {
    let value = head.headers.get("content-type")?;
    Some(value.split(';').next().unwrap_or_default().trim())
}
