//! Events in order of time, and engines that honour priorities.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use kernel::Priority;

/// One request on its way.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub instance: usize,
    pub priority: Priority,
    pub arrived_us: u64,
    /// How often its caller came back.
    pub come_backs: u32,
}

/// What happens.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// A request comes to an instance.
    Arrive(Request),
    /// An engine ends a request.
    Finish {
        endpoint: usize,
        request: Request,
        sent_us: u64,
        epoch: u32,
    },
    /// A zone goes or comes back.
    Zone { up: bool },
}

/// Events in order of time.
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

/// An engine that runs some requests at once and queues the rest by priority.
pub struct Engine {
    pub slots: u32,
    pub slowness: f64,
    pub zone: usize,
    pub up: bool,
    pub epoch: u32,
    pub running: u32,
    waiting: BinaryHeap<Reverse<(Priority, u64, usize)>>,
    held: Vec<(Request, u64)>,
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
            held: Vec::new(),
        }
    }

    /// Takes a request, and returns it if it starts at once.
    pub fn take(&mut self, request: Request, now_us: u64) -> bool {
        if self.running < self.slots {
            self.running += 1;
            return true;
        }
        self.waiting
            .push(Reverse((request.priority, now_us, self.held.len())));
        self.held.push((request, now_us));
        false
    }

    /// Ends a request, and returns the next to start with the time when it was sent.
    pub fn end(&mut self) -> Option<(Request, u64)> {
        self.running -= 1;
        let Reverse((_, _, index)) = self.waiting.pop()?;
        self.running += 1;
        Some(self.held[index])
    }

    /// Drops all work, and returns what was queued.
    pub fn fail(&mut self) -> Vec<Request> {
        self.up = false;
        self.epoch += 1;
        self.running = 0;
        let dropped = self
            .waiting
            .drain()
            .map(|Reverse((_, _, index))| self.held[index].0)
            .collect();
        self.held.clear();
        dropped
    }

    pub fn load(&self) -> u32 {
        self.running + self.waiting.len() as u32
    }
}
