//! Symptoms that must last.

/// Something that counts only once it has been seen for a while without a pause.
///
/// One long prompt makes all answers of its endpoint slow at the same time; a bad version stays slow.
///
/// # Examples
///
/// ```
/// use rollout::Lasting;
///
/// let mut lasting = Lasting::default();
/// assert!(!lasting.note(true, 1_000, 2_500));
/// assert!(lasting.note(true, 3_500, 2_500));
/// assert!(!lasting.note(false, 3_600, 2_500));
/// ```
#[derive(Debug, Default)]
pub struct Lasting {
    since_ms: Option<u64>,
}

impl Lasting {
    /// Notes whether it is seen now, and returns whether it has been for `least_ms`.
    pub fn note(&mut self, seen: bool, now_ms: u64, least_ms: u64) -> bool {
        if !seen {
            self.since_ms = None;
            return false;
        }
        let since_ms = *self.since_ms.get_or_insert(now_ms);
        now_ms.saturating_sub(since_ms) >= least_ms
    }
}
