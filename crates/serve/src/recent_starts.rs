//! The requests that an endpoint began lately, and what became of the endpoint afterwards.

use std::collections::VecDeque;

use crate::request_key::RequestKey;

/// How long after the start of an answer the answer may be what ended its endpoint, in milliseconds.
const CRASH_WINDOW_MS: u64 = 250;

/// How long after the start of an answer bytes of its endpoint show that it survived, in
/// milliseconds. An instance that is short of processor time reads bytes late, also those that were
/// sent before an end that it has not seen yet.
const SURVIVAL_MS: u64 = 600;

/// How long after a broken connection bytes may still be read that an endpoint sent before it ended,
/// in milliseconds: an instance that is short of processor time reads its other connections late.
const LATE_BYTES_MS: u64 = 500;

/// How long after its first bytes the registry may take to tell of a run that follows under the identifier of
/// another, in milliseconds.
const LISTING_MS: u64 = 2_000;

/// The most answers of one endpoint that are remembered.
const MAX_STARTS: usize = 256;

/// The start of an answer.
#[derive(Debug, Clone)]
pub(crate) struct Start {
    pub(crate) key: RequestKey,
    pub(crate) began_ms: u64,
}

/// What is taken for the cause of the end of a run.
#[derive(Debug, Clone)]
pub(crate) struct Suspect {
    pub(crate) key: RequestKey,
    pub(crate) broke_ms: u64,
    /// Whether the connection broke before an answer began.
    is_pending: bool,
    /// When bytes first came that the run may have sent, or another that follows under its identifier.
    excused_ms: Option<u64>,
}

impl Suspect {
    fn new(key: RequestKey, broke_ms: u64, is_pending: bool) -> Suspect {
        Suspect {
            key,
            broke_ms,
            is_pending,
            excused_ms: None,
        }
    }

    /// Returns whether the registry has had the time to tell of a run that follows.
    fn is_cleared(&self, now_ms: u64) -> bool {
        self.excused_ms
            .is_some_and(|excused_ms| now_ms > excused_ms + LISTING_MS)
    }
}

/// What the bytes of a living endpoint show about answers that it began.
#[derive(Debug, Default)]
pub(crate) struct SignOfLife {
    /// The endpoint has lived for long enough after these.
    pub(crate) survived: Vec<RequestKey>,
    /// These were taken for the cause of an end that was none.
    pub(crate) cleared: Vec<RequestKey>,
    /// As above, but the endpoint may not have begun them.
    pub(crate) cleared_pending: Vec<RequestKey>,
    /// These are no cause of an end unless a run is listed that follows.
    pub(crate) excused: Vec<RequestKey>,
}

impl SignOfLife {
    fn clear(&mut self, suspect: Suspect) {
        match suspect.is_pending {
            true => self.cleared_pending.push(suspect.key),
            false => self.cleared.push(suspect.key),
        }
    }
}

/// The answers that one run of an endpoint began lately.
#[derive(Debug, Default)]
pub(crate) struct RecentStarts {
    starts: VecDeque<Start>,
    /// Those that began shortly before a connection broke, and those whose connection broke before that.
    suspects: Vec<Suspect>,
    broke_ms: u64,
}

impl RecentStarts {
    /// Returns when the latest connection broke, in milliseconds, if one did.
    pub(crate) fn broke_ms(&self) -> Option<u64> {
        (self.broke_ms > 0).then_some(self.broke_ms)
    }

    /// Records that an answer began.
    pub(crate) fn began(&mut self, key: RequestKey, now_ms: u64) {
        if self.starts.len() == MAX_STARTS {
            self.starts.pop_front();
        }
        let began_ms = now_ms;
        self.starts.push_back(Start { key, began_ms });
    }

    /// Records that an answer ended as it should, which it would not if it had crashed the endpoint.
    /// Returns whether its outcome was not known before.
    pub(crate) fn completed(&mut self, key: &RequestKey) -> bool {
        let found = self.starts.iter().position(|start| start.key == *key);
        found.is_some_and(|index| self.starts.remove(index).is_some())
    }

    /// Records that the endpoint sent bytes on a connection opened at a time, in milliseconds, which
    /// shows that it lives. Those of an answer that began after a break may be of a run that follows.
    pub(crate) fn lives(
        &mut self,
        opened_ms: Option<u64>,
        began_ms: Option<u64>,
        now_ms: u64,
    ) -> SignOfLife {
        let mut sign = SignOfLife::default();
        let opened_later = opened_ms.is_some_and(|opened_ms| opened_ms > self.broke_ms);
        let is_late = now_ms > self.broke_ms + LATE_BYTES_MS;
        if opened_later || is_late {
            self.clear(began_ms, now_ms, &mut sign);
        }
        while let Some(start) = self.starts.front()
            && now_ms >= start.began_ms + SURVIVAL_MS
        {
            sign.survived
                .extend(self.starts.pop_front().map(|start| start.key));
        }
        sign
    }

    fn clear(&mut self, began_ms: Option<u64>, now_ms: u64, sign: &mut SignOfLife) {
        for mut suspect in std::mem::take(&mut self.suspects) {
            let is_same_run = began_ms.is_none_or(|began_ms| began_ms < suspect.broke_ms);
            if is_same_run || suspect.is_cleared(now_ms) {
                sign.clear(suspect);
                continue;
            }
            if suspect.excused_ms.is_none() {
                suspect.excused_ms = Some(now_ms);
                sign.excused.push(suspect.key.clone());
            }
            self.suspects.push(suspect);
        }
    }

    /// Records that the run has ended, and returns what was excused and may have ended it.
    pub(crate) fn ended(&mut self, now_ms: u64) -> Vec<Suspect> {
        let mut suspects = std::mem::take(&mut self.suspects);
        suspects.retain(|suspect| suspect.excused_ms.is_some() && !suspect.is_cleared(now_ms));
        suspects
    }

    /// Records that the connection of a request broke before its answer began.
    pub(crate) fn broke_before_start(&mut self, key: RequestKey, now_ms: u64) {
        self.broke_ms = now_ms;
        self.suspects.push(Suspect::new(key, now_ms, true));
    }

    /// Records that a connection broke at a time, in milliseconds, and returns the answers that began shortly
    /// before it. Each is returned once.
    pub(crate) fn broke(&mut self, now_ms: u64) -> Vec<Start> {
        self.broke_ms = self.broke_ms.max(now_ms);
        let mut suspects = Vec::new();
        for start in std::mem::take(&mut self.starts) {
            if start.began_ms > now_ms {
                self.starts.push_back(start);
                continue;
            }
            if now_ms < start.began_ms + CRASH_WINDOW_MS {
                let suspect = Suspect::new(start.key.clone(), now_ms, false);
                self.suspects.push(suspect);
                suspects.push(start);
            }
        }
        suspects
    }
}
