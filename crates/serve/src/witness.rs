//! Idle connections to endpoints, on which only the runs that accepted them can answer.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::time::{Duration, Instant};

use relay::Socket;

/// How long a run that answers requests may take to accept a connection. Until then the connection may go to
/// a later run that takes over the listener.
pub(crate) const ACCEPT_TIME: Duration = Duration::from_millis(50);

/// How long a witness is kept that no answer needs.
const KEPT_TIME: Duration = Duration::from_secs(10);

/// Pause after a witness was refused, or closed soon after it was opened. The next one has to be accepted before
/// the loss is forgotten after [`SAME_TIME`].
const REFUSED_PAUSE: Duration = Duration::from_millis(300);

/// Age at which a witness is replaced, below the time after which most endpoints close idle connections.
const MAX_AGE: Duration = Duration::from_secs(1);

/// Age below which a witness that closes is not replaced at once.
const EARLY_AGE: Duration = Duration::from_millis(200);

/// How long an attempt to open a witness keeps others from one. The answer that it is opened for may not be read
/// meanwhile.
const OPENING_TIME: Duration = Duration::from_millis(250);

/// How often it is checked whether a witness is open.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A witness that closes within this time before an answer ends has ended with it.
const SAME_TIME: Duration = Duration::from_millis(500);

/// How long an endpoint may take to close a connection after an answer, if it closes it.
const SETTLING_TIME: Duration = Duration::from_millis(200);

/// The most losses that are remembered.
const MAX_LOSSES: usize = 64;

/// An idle connection to an endpoint.
#[derive(Debug)]
struct Witness {
    socket: Socket,
    established_at: Instant,
    /// When a question on it was answered, until the endpoint has kept it for a while after that.
    asked_at: Option<Instant>,
}

impl Witness {
    /// Returns whether the endpoint has turned it away that ended with an error: an endpoint resets what exceeds
    /// its connections. Those of a run that ends are closed regularly.
    fn is_turned_away(&self, err: &io::Error, now: Instant) -> bool {
        err.kind() != io::ErrorKind::ConnectionAborted && now < self.established_at + EARLY_AGE
    }

    /// Notes that it is open.
    fn settle(&mut self, now: Instant) {
        let is_settled = |asked_at: Instant| now >= asked_at + SETTLING_TIME;
        if self.asked_at.is_some_and(is_settled) {
            self.asked_at = None;
        }
    }
}

/// The loss of the last witness of an endpoint.
#[derive(Debug, Clone, Copy)]
struct Loss {
    /// When it was last known to be open, and when it was found closed.
    open_at: Instant,
    found_at: Instant,
}

impl Loss {
    fn may_be_within(&self, from: Instant, to: Instant) -> bool {
        self.found_at + SAME_TIME > from && self.open_at < to + CHECK_INTERVAL
    }
}

/// The place of the witness of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct WitnessSlot {
    /// The witness, behind the one that it is to replace until the run has had time to accept it.
    witnesses: RefCell<VecDeque<Witness>>,
    opening_at: Cell<Option<Instant>>,
    checked_at: Cell<Option<Instant>>,
    /// When a witness was last seen to be open.
    open_at: Cell<Option<Instant>>,
    wanted_at: Cell<Option<Instant>>,
    refused_at: Cell<Option<Instant>>,
    /// When a witness was last turned away.
    turned_away_at: Cell<Option<Instant>>,
    losses: RefCell<VecDeque<Loss>>,
    /// When a witness was last found closed regularly, and its age.
    closed: Cell<Option<(Instant, Duration)>>,
    /// The least age at which the endpoint closed an idle connection.
    idle_timeout: Cell<Option<Duration>>,
    /// Whether the endpoint keeps connections after answers.
    keeps_alive: Cell<bool>,
}

impl WitnessSlot {
    /// Returns until when the run is known to have been there that answers a request sent at a time, on a connection
    /// that was open until another, if a witness was lost about then or later. What was opened after the loss may be
    /// of a later run.
    pub(crate) fn lost_since(&self, sent_at: Instant, open_until: Instant) -> Option<Instant> {
        self.drop_closed();
        let losses = self.losses.borrow();
        let mut since = losses
            .iter()
            .filter(|loss| loss.found_at > sent_at && loss.found_at + SAME_TIME > open_until);
        since.next().map(|loss| loss.open_at)
    }

    /// Returns whether the endpoint has kept a connection after an answer.
    pub(crate) fn keeps_alive(&self) -> bool {
        self.keeps_alive.get()
    }

    /// Returns whether there is a witness that is open.
    pub(crate) fn is_open(&self) -> bool {
        self.drop_closed();
        !self.witnesses.borrow().is_empty()
    }

    /// Takes the latest witness for a question about a run that was there at a time, and returns it with when it was
    /// established. Only the run that accepted it can answer on it.
    pub(crate) fn take(&self, alive_at: Instant) -> Option<(Socket, Instant)> {
        self.drop_closed();
        let mut witnesses = self.witnesses.borrow_mut();
        let is_old = |witness: &Witness| witness.established_at + ACCEPT_TIME <= alive_at;
        let latest = witnesses.iter().rposition(is_old)?;
        let witness = witnesses.remove(latest)?;
        Some((witness.socket, witness.established_at))
    }

    /// Sets a witness back after a question, or after a wait without one.
    pub(crate) fn put_back(&self, socket: Socket, established_at: Instant, is_asked: bool) {
        let mut witnesses = self.witnesses.borrow_mut();
        let place = witnesses.partition_point(|witness| witness.established_at < established_at);
        let witness = Witness {
            socket,
            established_at,
            asked_at: is_asked.then(Instant::now),
        };
        witnesses.insert(place, witness);
    }

    /// Records that the connection of a question closed as the answer ended.
    pub(crate) fn record_lost(&self) {
        let found_at = Instant::now();
        let open_at = self.open_at.get().unwrap_or(found_at);
        let mut losses = self.losses.borrow_mut();
        if losses.len() == MAX_LOSSES {
            losses.pop_front();
        }
        losses.push_back(Loss { open_at, found_at });
    }

    /// Records that the connection of an answer was reset. A witness that seemed to be turned away ended with it.
    pub(crate) fn record_reset(&self) {
        self.drop_closed();
        let turned_away_at = self.turned_away_at.take();
        if turned_away_at.is_some_and(|at| at.elapsed() < CHECK_INTERVAL * 2) {
            self.refused_at.set(None);
            self.record_lost();
        }
    }

    /// Drops a witness that no answer has needed for a while.
    pub(crate) fn drop_unused(&self) {
        if self
            .wanted_at
            .get()
            .is_some_and(|at| at.elapsed() >= KEPT_TIME)
        {
            self.witnesses.borrow_mut().clear();
            self.wanted_at.set(None);
        }
    }

    /// Sets the witness to a connection that is established now, or records that none is.
    pub(crate) fn set(&self, opened: io::Result<Socket>) {
        let now = Instant::now();
        match opened {
            Ok(socket) => {
                self.refused_at.set(None);
                self.witnesses.borrow_mut().push_back(Witness {
                    socket,
                    established_at: now,
                    asked_at: None,
                });
            }
            Err(err) => {
                tracing::debug!(error = %err, "life: no idle connection");
                self.refused_at.set(Some(now));
            }
        }
    }

    /// Returns whether a witness is to be opened while an answer is read.
    pub(crate) fn is_wanted(&self) -> bool {
        let now = Instant::now();
        self.wanted_at.set(Some(now));
        let checked_at = self.checked_at.get();
        // Several answers of the endpoint may be read.
        if checked_at.is_some_and(|checked_at| now < checked_at + CHECK_INTERVAL / 2) {
            return false;
        }
        self.drop_closed();
        self.drop_replaced();
        self.checked_at.set(Some(now));
        let witnesses = self.witnesses.borrow();
        let max_age = self.max_age();
        let is_fresh = |witness: &Witness| now < witness.established_at + max_age;
        let has_fresh = witnesses.back().is_some_and(is_fresh);
        let refused_at = self.refused_at.get();
        let is_refused = refused_at.is_some_and(|refused_at| now < refused_at + REFUSED_PAUSE);
        let opening_at = self.opening_at.get();
        let is_opening = opening_at.is_some_and(|opening_at| now < opening_at + OPENING_TIME);
        !has_fresh && !is_refused && !is_opening
    }

    /// Keeps others from opening a witness for a while, or until the guard is dropped.
    pub(crate) fn begin_opening(&self) -> Opening<'_> {
        self.opening_at.set(Some(Instant::now()));
        Opening(self)
    }

    /// Drops a witness that is too old and cannot be replaced: its endpoint may close it as idle.
    pub(crate) fn drop_aged(&self) {
        self.witnesses.borrow_mut().clear();
    }

    /// Drops witnesses that have closed. The last of them may have ended with an answer that ends soon.
    fn drop_closed(&self) {
        let mut witnesses = self.witnesses.borrow_mut();
        let now = Instant::now();
        let mut is_lost = false;
        witnesses.retain_mut(|witness| {
            // An error is reported once.
            let Err(err) = witness.socket.check_silent() else {
                let was_asked = witness.asked_at.is_some();
                witness.settle(now);
                let keeps_alive = was_asked && witness.asked_at.is_none();
                self.keeps_alive.set(self.keeps_alive.get() || keeps_alive);
                return true;
            };
            // After an answer, an endpoint that keeps connections does not close them.
            if witness.asked_at.is_none() || self.keeps_alive.get() {
                if witness.is_turned_away(&err, now) {
                    self.turned_away_at.set(Some(now));
                } else {
                    is_lost = true;
                }
                if err.kind() == io::ErrorKind::ConnectionAborted {
                    self.closed.set(Some((now, now - witness.established_at)));
                }
                let is_early = now < witness.established_at + EARLY_AGE;
                self.refused_at.set(is_early.then_some(now));
            }
            false
        });
        let is_open = !witnesses.is_empty();
        drop(witnesses);
        if is_open {
            self.open_at.set(Some(now));
        } else if is_lost {
            self.record_lost();
        }
    }

    /// Records that an answer whose reading began at a time goes on. If it has outlived a witness, the endpoint has
    /// closed that one as idle.
    pub(crate) fn record_going_on(&self, began_at: Instant) {
        let is_outlived = |(found_at, _): &(Instant, Duration)| {
            began_at < *found_at && found_at.elapsed() >= CHECK_INTERVAL / 2
        };
        if let Some((_, age)) = self.closed.get().filter(is_outlived) {
            self.closed.set(None);
            let least = self.idle_timeout.get().map_or(age, |least| least.min(age));
            self.idle_timeout.set(Some(least));
        }
    }

    /// Returns the age at which a witness is replaced.
    fn max_age(&self) -> Duration {
        let half = self.idle_timeout.get().map(|timeout| timeout / 2);
        half.map_or(MAX_AGE, |half| half.clamp(EARLY_AGE, MAX_AGE))
    }

    /// Drops the witness that another has replaced.
    fn drop_replaced(&self) {
        let mut witnesses = self.witnesses.borrow_mut();
        let is_accepted = |witness: &Witness| witness.established_at.elapsed() >= ACCEPT_TIME * 2;
        // Until an asked one has settled, it is not known whether the endpoint keeps connections.
        let is_settled = |witness: &Witness| witness.asked_at.is_none();
        let is_replaced = witnesses.len() > 1 && witnesses.back().is_some_and(is_accepted);
        if is_replaced && witnesses.front().is_some_and(is_settled) {
            witnesses.pop_front();
        }
    }

    /// Returns whether the last witness closed when an answer may have ended, whose connection was open until a time
    /// and found ended at another: the run has ended, or the path to it was cut.
    pub(crate) fn was_lost_with(&self, open_until: Instant, ended_at: Instant) -> bool {
        self.drop_closed();
        let losses = self.losses.borrow();
        losses
            .iter()
            .any(|loss| loss.may_be_within(open_until, ended_at))
    }
}

/// Guard of an attempt to open a witness.
pub(crate) struct Opening<'a>(&'a WitnessSlot);

impl Drop for Opening<'_> {
    fn drop(&mut self) {
        self.0.opening_at.set(None);
    }
}
