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

/// The most answers of one endpoint that are remembered.
const MAX_STARTS: usize = 256;

/// The start of an answer.
#[derive(Debug, Clone)]
pub(crate) struct Start {
    pub(crate) key: RequestKey,
    pub(crate) began_ms: u64,
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
}

/// The answers that one run of an endpoint began lately.
#[derive(Debug, Default)]
pub(crate) struct RecentStarts {
    starts: VecDeque<Start>,
    /// Those that began shortly before a connection broke.
    suspects: Vec<RequestKey>,
    /// Those whose connection broke before an answer began.
    pending_suspects: Vec<RequestKey>,
    broke_ms: u64,
}

impl RecentStarts {
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
    /// shows that it lives.
    pub(crate) fn lives(&mut self, opened_ms: Option<u64>, now_ms: u64) -> SignOfLife {
        let mut sign = SignOfLife::default();
        let opened_later = opened_ms.is_some_and(|opened_ms| opened_ms > self.broke_ms);
        let is_late = now_ms > self.broke_ms + LATE_BYTES_MS;
        if opened_later || is_late {
            sign.cleared = std::mem::take(&mut self.suspects);
            sign.cleared_pending = std::mem::take(&mut self.pending_suspects);
        }
        while let Some(start) = self.starts.front()
            && now_ms >= start.began_ms + SURVIVAL_MS
        {
            sign.survived
                .extend(self.starts.pop_front().map(|start| start.key));
        }
        sign
    }

    /// Records that the connection of a request broke before its answer began.
    pub(crate) fn broke_before_start(&mut self, key: RequestKey, now_ms: u64) {
        self.broke_ms = now_ms;
        self.pending_suspects.push(key);
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
                self.suspects.push(start.key.clone());
                suspects.push(start);
            }
        }
        suspects
    }
}
