//! Generates the completions of the fake engines.

use xxhash_rust::xxh3::xxh3_64;

/// Marker word of a good completion.
const GOOD_MARKER: &str = "sound";

/// Marker word of a bad completion.
const BAD_MARKER: &str = "faulty";

/// A completion before serialization.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Completion {
    /// Words, one token each. The first is the request identifier, the second the marker.
    pub(crate) words: Vec<String>,
    /// Confidence, from 0 to 1.
    pub(crate) confidence: f64,
}

/// Generates the completion of a version for a request. It depends on the arguments only, so that a
/// retried request gets the same one.
pub(crate) fn generate(request: &str, version: &str, quality: f64, tokens: usize) -> Completion {
    let unit = |salt: &str| {
        xxh3_64(format!("{salt}/{request}/{version}").as_bytes()) as f64 / u64::MAX as f64
    };
    let good = unit("quality") < quality;
    let spread = unit("confidence");
    let confidence = if good {
        1.0 - 0.5 * spread * spread
    } else {
        0.85 * spread
    };
    let mut words = vec![
        request.to_owned(),
        if good { GOOD_MARKER } else { BAD_MARKER }.to_owned(),
    ];
    for index in words.len()..tokens.max(2) {
        words.push(format!("w{index}"));
    }
    Completion { words, confidence }
}

/// Returns whether a completion contains the marker of a good one.
pub(crate) fn is_good(text: &str) -> bool {
    text.split_whitespace().any(|word| word == GOOD_MARKER)
}
