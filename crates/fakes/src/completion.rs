//! The answers of the stand-in engines.

use xxhash_rust::xxh3::xxh3_64;

/// The word that marks a good answer.
const GOOD_MARK: &str = "sound";

/// The word that marks a bad answer.
const BAD_MARK: &str = "faulty";

/// An answer before it is written out.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Completion {
    /// The words, each one token.
    pub(crate) words: Vec<String>,
    /// The confidence, from 0 to 1.
    pub(crate) confidence: f64,
}

/// Makes the answer of a version to a request, the same for the same request.
pub(crate) fn make(request: &str, version: &str, quality: f64, tokens: usize) -> Completion {
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
        if good { GOOD_MARK } else { BAD_MARK }.to_owned(),
    ];
    for index in words.len()..tokens.max(2) {
        words.push(format!("w{index}"));
    }
    Completion { words, confidence }
}

/// Returns whether an answer carries the mark of a good one.
pub(crate) fn is_good(text: &str) -> bool {
    text.split_whitespace().any(|word| word == GOOD_MARK)
}
