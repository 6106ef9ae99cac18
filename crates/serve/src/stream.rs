//! An answer that is a stream of events.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use kernel::Verdict;
use relay::{BodyError, BodyStream, LocalFuture, timeout_at};
use rollout::{StreamProgress, is_slow_stream};

use crate::desk::Desk;
use crate::events::{Event, EventSplitter};
use crate::job::Job;
use crate::outcome::Outcome;
use crate::report::Report;
use crate::run::Begun;
use crate::version_counters::Ending;

/// The shortest silence after which a stream goes on elsewhere. Callers leave after two seconds at
/// the soonest.
const MIN_STALL: Duration = Duration::from_millis(1_700);

/// How many of the longest pauses that callers bear make a stall.
const STALL_GAPS: u32 = 2;

/// How many events tell the pace of an endpoint.
const MIN_PACED_EVENTS: u32 = 4;

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
    /// Whether it was told how the version of the present run answers.
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
        Stream {
            desk,
            job,
            begun,
            splitter: EventSplitter::default(),
            last_id,
            events: 0,
            began: Instant::now(),
            is_judged: false,
            stall: (gap * STALL_GAPS).max(MIN_STALL),
            waits: false,
            report,
            ended: false,
        }
    }

    async fn next_event(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            let err = match self.read_event().await {
                Ok(Some(event)) => {
                    self.events += 1;
                    self.judge(false);
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
            match timeout_at(until, self.begun.exchange.next()).await? {
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
    async fn go_on(&mut self, err: &io::Error) -> Result<(), BodyError> {
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
        self.is_judged = false;
    }

    /// Tells once how the version of the present run answers, as soon as its pace shows it.
    fn judge(&mut self, is_over: bool) {
        if self.is_judged {
            return;
        }
        let progress = StreamProgress {
            events: self.events,
            elapsed_ms: self.began.elapsed().as_millis() as f64,
            is_over,
        };
        let usual_ms = self.desk.paces.event_ms(&self.job.kind());
        let Some(is_slow) = is_slow_stream(&progress, usual_ms) else {
            return;
        };
        self.is_judged = true;
        let ending = if is_slow {
            Ending::Slow
        } else {
            Ending::Answered
        };
        self.job
            .note_tally(&self.desk, &self.begun.endpoint, ending);
    }

    /// Notes the pace of the events, which tells slow endpoints apart.
    fn note_pace(&self) {
        if self.events < MIN_PACED_EVENTS {
            return;
        }
        let event_ms = self.began.elapsed().as_millis() as f64 / f64::from(self.events);
        let ratio = self.desk.paces.note_event(&self.job.kind(), event_ms);
        self.begun.seat.station.note_pace(ratio);
    }

    fn finish_well(&mut self) {
        self.ended = true;
        self.judge(true);
        self.note_pace();
        self.begun
            .seat
            .station
            .note_ended(false, self.desk.now_ms());
        let outcome = Outcome::Answered(self.begun.head.status);
        self.report.write(&self.desk, Some(&self.job), &outcome);
    }

    fn finish_badly(&mut self, why: &str) -> BodyError {
        self.ended = true;
        let outcome = Outcome::StreamBroken(why.to_owned());
        self.report.write(&self.desk, Some(&self.job), &outcome);
        BodyError {
            message: why.to_owned(),
        }
    }
}

impl BodyStream for Stream {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>, BodyError>> {
        Box::pin(self.next_event())
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if !self.ended {
            self.report
                .write(&self.desk, Some(&self.job), &Outcome::CallerDisconnected);
        }
    }
}
