//! An answer that is a stream of events.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use kernel::Verdict;
use relay::{Broken, LocalFuture, Pieces, within};

use crate::desk::Desk;
use crate::events::{Event, EventSplitter};
use crate::job::Job;
use crate::journal::Outcome;
use crate::report::Report;
use crate::run::Begun;
use crate::tally::Ending;

/// The shortest silence after which a stream goes on elsewhere. Callers leave after two seconds at
/// the soonest.
const MIN_STALL: Duration = Duration::from_millis(1_700);

/// How many of the longest pauses that callers bear make a stall.
const STALL_GAPS: u32 = 2;

/// How many events tell a pace.
const MIN_PACED_EVENTS: u32 = 4;

/// How many events are enough to tell it, so that a slow version is found before its first stream
/// has ended.
const ENOUGH_PACED_EVENTS: u32 = 10;

/// How many times the usual time between events makes a stream slow: more than a full batch adds,
/// less than the several times that a bad version takes.
const SLOW_EVENTS: f64 = 2.5;

/// The stream to a caller, which may go on at another endpoint.
pub(crate) struct Stream {
    desk: Rc<Desk>,
    job: Job,
    begun: Box<Begun>,
    splitter: EventSplitter,
    last_id: Option<u64>,
    /// Events of the present run, and when it began.
    events: u32,
    began: Instant,
    /// Whether it was noted how fast the events of the present run come.
    is_paced: bool,
    /// Whether it was told how the version of the present run answered.
    is_judged: bool,
    stall: Duration,
    /// Whether the present endpoint is waited for until the time is up, since nobody else may go on.
    waits: bool,
    report: Report,
    ended: bool,
}

impl Stream {
    pub(crate) fn new(desk: Rc<Desk>, job: Job, begun: Box<Begun>, report: Report) -> Stream {
        let gap = Duration::from_millis(job.route.max_gap_ms.unwrap_or_default());
        let last_id = job.ask.resume_after;
        let mut stream = Stream {
            desk,
            job,
            begun,
            splitter: EventSplitter::default(),
            last_id,
            events: 0,
            began: Instant::now(),
            is_paced: false,
            is_judged: false,
            stall: (gap * STALL_GAPS).max(MIN_STALL),
            waits: false,
            report,
            ended: false,
        };
        stream.judge_beginning();
        stream
    }

    async fn next_event(&mut self) -> Result<Option<Bytes>, Broken> {
        loop {
            let err = match self.read_event().await {
                Ok(Some(event)) => {
                    self.events += 1;
                    if self.events == ENOUGH_PACED_EVENTS {
                        self.note_pace();
                    }
                    if event.id.is_some() {
                        self.last_id = event.id;
                    }
                    return Ok(Some(event.bytes));
                }
                Ok(None) => {
                    self.finish_well();
                    return Ok(None);
                }
                Err(err) => err,
            };
            self.go_on(&err).await?;
        }
    }

    /// Reads the next whole event of the present run.
    async fn read_event(&mut self) -> io::Result<Option<Event>> {
        loop {
            if let Some(event) = self.splitter.next() {
                return self.check_order(event).map(Some);
            }
            let until = if self.waits {
                self.job.deadline
            } else {
                (Instant::now() + self.stall).min(self.job.deadline)
            };
            match within(until, self.begun.exchange.next()).await? {
                Some(bytes) => {
                    self.begun.seat.station.note_heard(self.desk.now_ms());
                    self.splitter.push(&bytes);
                }
                None if self.splitter.is_empty() => return Ok(None),
                None => return Err(io::ErrorKind::UnexpectedEof.into()),
            }
        }
    }

    /// Checks that nothing is missing and nothing comes twice.
    fn check_order(&self, event: Event) -> io::Result<Event> {
        let (Some(id), Some(last)) = (event.id, self.last_id) else {
            return Ok(event);
        };
        if id == last + 1 {
            return Ok(event);
        }
        let message = format!("event {id} came after event {last}");
        Err(io::Error::new(io::ErrorKind::InvalidData, message))
    }

    /// Goes on at another endpoint after the last event that the caller has.
    ///
    /// An endpoint that is only silent is waited for when nobody else takes the stream.
    async fn go_on(&mut self, err: &io::Error) -> Result<(), Broken> {
        if self.job.left().is_zero() {
            return Err(self.finish_badly("the time is up"));
        }
        let is_silent = err.kind() == io::ErrorKind::TimedOut;
        let why = err.to_string();
        let endpoint = self.begun.endpoint.clone();
        self.begun.seat.station.note_ended(true, self.desk.now_ms());
        self.job.log_send(&endpoint, "stream broke", &why);
        self.job.note_run(Verdict::Ran);
        let refused = if self.job.may_go_on() {
            match self.job.dispatch(&self.desk, self.last_id).await {
                Ok(begun) => {
                    self.take_over(begun);
                    return Ok(());
                }
                Err(failure) => failure.to_string(),
            }
        } else {
            why
        };
        if is_silent {
            self.waits = true;
            return Ok(());
        }
        Err(self.finish_badly(&refused))
    }

    fn take_over(&mut self, begun: Box<Begun>) {
        self.begun = begun;
        self.splitter.clear();
        self.events = 0;
        self.began = Instant::now();
        self.is_paced = false;
        self.is_judged = false;
        self.judge_beginning();
    }

    /// Notes how fast the present run answers, which tells slow endpoints and versions apart.
    fn note_pace(&mut self) {
        if self.is_paced {
            return;
        }
        self.is_paced = true;
        let mut is_slow = false;
        if self.events >= MIN_PACED_EVENTS {
            let event_ms = self.began.elapsed().as_millis() as f64 / f64::from(self.events);
            let ratio = self.desk.paces.note_event(&self.job.kind(), event_ms);
            self.begun.seat.station.note_pace(ratio);
            is_slow = ratio >= SLOW_EVENTS;
        }
        let ending = if is_slow {
            Ending::Slow
        } else {
            Ending::Answered
        };
        self.judge(ending);
    }

    /// Tells once how the version of the present run answered.
    fn judge(&mut self, ending: Ending) {
        if self.is_judged {
            return;
        }
        self.is_judged = true;
        self.job
            .note_tally(&self.desk, &self.begun.endpoint, ending);
    }

    /// Judges a run whose beginning was slow; others are judged by their events, too.
    fn judge_beginning(&mut self) {
        if self.begun.ending() == Ending::Slow {
            self.judge(Ending::Slow);
        }
    }

    fn finish_well(&mut self) {
        self.ended = true;
        self.note_pace();
        self.begun
            .seat
            .station
            .note_ended(false, self.desk.now_ms());
        let outcome = Outcome::Answered(self.begun.head.status);
        self.report.write(&self.desk, Some(&self.job), &outcome);
    }

    fn finish_badly(&mut self, why: &str) -> Broken {
        self.ended = true;
        let outcome = Outcome::Broken(why.to_owned());
        self.report.write(&self.desk, Some(&self.job), &outcome);
        Broken {
            message: why.to_owned(),
        }
    }
}

impl Pieces for Stream {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>, Broken>> {
        Box::pin(self.next_event())
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if !self.ended {
            self.report
                .write(&self.desk, Some(&self.job), &Outcome::Left);
        }
    }
}
