//! Event queue ordered by time, and engines with a priority queue.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use kernel::Priority;

/// One simulated request.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub instance: usize,
    pub priority: Priority,
    pub arrived_us: u64,
    /// How often its caller has retried after a refusal.
    pub caller_retries: u32,
}

/// An event of the simulation.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// A request arrives at an instance.
    Arrive(Request),
    /// An engine finishes a request.
    Finish {
        endpoint: usize,
        request: Request,
        sent_us: u64,
        epoch: u32,
    },
    /// A zone fails or recovers.
    Zone { up: bool },
}

/// Pending events, ordered by time.
#[derive(Default)]
pub struct Events {
    heap: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Event>,
}

impl Events {
    pub fn add(&mut self, at_us: u64, event: Event) {
        self.heap.push(Reverse((at_us, self.events.len())));
        self.events.push(event);
    }

    pub fn next(&mut self) -> Option<(u64, Event)> {
        let Reverse((at_us, index)) = self.heap.pop()?;
        Some((at_us, self.events[index]))
    }
}

/// An engine that runs up to `slots` requests concurrently and queues the rest by priority.
pub struct Engine {
    pub slots: u32,
    pub slowness: f64,
    pub zone: usize,
    pub up: bool,
    pub epoch: u32,
    pub running: u32,
    waiting: BinaryHeap<Reverse<(Priority, u64, usize)>>,
    queued: Vec<(Request, u64)>,
}

impl Engine {
    pub fn new(slots: u32, slowness: f64, zone: usize) -> Engine {
        Engine {
            slots,
            slowness,
            zone,
            up: true,
            epoch: 0,
            running: 0,
            waiting: BinaryHeap::new(),
            queued: Vec::new(),
        }
    }

    /// Adds a request and returns whether it starts immediately.
    pub fn submit(&mut self, request: Request, now_us: u64) -> bool {
        if self.running < self.slots {
            self.running += 1;
            return true;
        }
        self.waiting
            .push(Reverse((request.priority, now_us, self.queued.len())));
        self.queued.push((request, now_us));
        false
    }

    /// Finishes a request and returns the next one to start, with the time when it was sent.
    pub fn finish(&mut self) -> Option<(Request, u64)> {
        self.running -= 1;
        let Reverse((_, _, index)) = self.waiting.pop()?;
        self.running += 1;
        Some(self.queued[index])
    }

    /// Stops the engine and returns the queued requests.
    pub fn fail(&mut self) -> Vec<Request> {
        self.up = false;
        self.epoch += 1;
        self.running = 0;
        let dropped = self
            .waiting
            .drain()
            .map(|Reverse((_, _, index))| self.queued[index].0)
            .collect();
        self.queued.clear();
        dropped
    }

    pub fn load(&self) -> u32 {
        self.running + self.waiting.len() as u32
    }
}
