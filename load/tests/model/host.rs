//! A target: some slots, a queue before them, and connections.

use super::scene::Fault;
use medlarspur_load::Report;
use std::collections::VecDeque;

/// Work that reached a target by an instance.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    pub work: usize,
    pub by: usize,
}

#[derive(Debug)]
pub struct Host {
    slots: u32,
    limit: u32,
    pub connections: u32,
    pub busy: u32,
    pub queue: VecDeque<Job>,
    /// What its endpoint says.
    pub told: Report,
}

impl Host {
    pub fn new(slots: u16, limit: u32) -> Host {
        Host {
            slots: u32::from(slots),
            limit,
            connections: 0,
            busy: 0,
            queue: VecDeque::new(),
            told: told(0, 0),
        }
    }

    pub fn full(&self) -> bool {
        self.connections >= self.limit
    }

    /// The next job, if a slot is free for it.
    pub fn take(&mut self) -> Option<Job> {
        if self.busy >= self.slots {
            return None;
        }
        let job = self.queue.pop_front()?;
        self.busy += 1;
        Some(job)
    }

    /// Renews what its endpoint says.
    pub fn refresh(&mut self, fault: Option<Fault>) {
        self.told = match fault {
            Some(Fault::SaysIdle) => told(0, 0),
            Some(Fault::SaysFull) => told(self.slots * 10, self.limit),
            _ => told(self.busy + self.queue.len() as u32, self.connections),
        };
    }
}

fn told(work: u32, connections: u32) -> Report {
    Report { healthy: true, draining: false, work, connections }
}
