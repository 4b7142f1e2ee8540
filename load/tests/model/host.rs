//! A simulated target: slots, a queue in front of them, and connections.

use super::scene::Fault;
use medlarspur_load::LoadReport;
use std::collections::VecDeque;

/// Work that an instance sent to a target.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    pub work: usize,
    pub instance: usize,
}

#[derive(Debug)]
pub struct Host {
    slots: u32,
    limit: u32,
    pub connections: u32,
    pub busy: u32,
    pub queue: VecDeque<Job>,
    /// Report of its load endpoint.
    pub report: LoadReport,
}

impl Host {
    pub fn new(slots: u16, limit: u32) -> Host {
        Host {
            slots: u32::from(slots),
            limit,
            connections: 0,
            busy: 0,
            queue: VecDeque::new(),
            report: report(0, 0),
        }
    }

    pub fn is_full(&self) -> bool {
        self.connections >= self.limit
    }

    /// Removes and returns the next job if a slot is free for it.
    pub fn take(&mut self) -> Option<Job> {
        if self.busy >= self.slots {
            return None;
        }
        let job = self.queue.pop_front()?;
        self.busy += 1;
        Some(job)
    }

    /// Updates what its endpoint reports.
    pub fn refresh(&mut self, fault: Option<Fault>) {
        self.report = match fault {
            Some(Fault::SaysIdle) => report(0, 0),
            Some(Fault::SaysFull) => report(self.slots * 10, self.limit),
            _ => report(self.busy + self.queue.len() as u32, self.connections),
        };
    }
}

fn report(work: u32, connections: u32) -> LoadReport {
    LoadReport { healthy: true, draining: false, work, connections }
}
