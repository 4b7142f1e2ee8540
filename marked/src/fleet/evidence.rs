//! Exchange of request outcomes between the instances of a failure domain.
//!
//! One instance sees a request only every few seconds at a target, too rarely to find one that
//! fails half of them. Each instance therefore reports its recent outcomes at targets with bad
//! ones to some others of its domain, and combines what it receives
//! ([`Pool`](medlarspur_load::outlier::Pool)). Reports don't cross failure domains, because a
//! fault may affect the callers of one only. A report replaces the sender's last one, so lost
//! and repeated datagrams don't change the counts. The figures are in
//! `docs/design/outlier.md`.

use super::Fleet;
use crate::{
    Catalog, Incarnation,
    message::{DomainId, MAX_REPORTS, Message, TargetReport},
};
use medlarspur_lib::{collections::Map, time::Millis};
use medlarspur_load::outlier::OutcomeCounts;
use std::net::SocketAddrV4;

/// Interval at which reports are sent.
const SEND_INTERVAL: Millis = Millis::secs(1);
/// Interval at which an instance checks whether it has something to report. The first bad
/// outcomes are reported after this time at most.
const CHECK_INTERVAL: Millis = Millis(250);
/// Maximum number of instances that reports are sent to at a time.
const MAX_RECEIVERS: usize = 16;
/// Maximum size of all reports that are sent at a time, with the headers of UDP and IP.
/// Control traffic may take 8 KB/s.
const MAX_SENT_BYTES: usize = 3_000;
/// Size of the headers of UDP and IP.
const HEADER_BYTES: usize = 28;
/// Maximum number of instances of a failure domain whose readers report. Heartbeats and updates
/// of a reader to a hundred instances already take nearly all of 8 KB/s.
const MAX_READER_DOMAIN: usize = 34;
/// Maximum number of instances whose reports on a target are held.
const MAX_REPORTERS: usize = 8;
/// Time for which a report is held.
const REPORT_LIFETIME: Millis = Millis::secs(5);
/// Time without [`Fleet::tick`] after which this process was frozen, even if that was not
/// reported by [`Fleet::resume`]. The longest regular interval is that of a listener, 2.4 s.
const FREEZE_TIME: Millis = Millis::secs(3);

/// Reports of other instances.
#[derive(Debug, Default)]
pub(super) struct EvidenceExchange {
    held: Map<Incarnation, Vec<HeldReport>>,
    /// Whether reports arrived or expired since they were last taken, and when that was.
    is_changed: bool,
    taken_at: Millis,
    /// Time of the next check whether there is something to report.
    next_send: Millis,
    last_tick: Millis,
    /// Whether the process was paused since then. Datagrams that arrived meanwhile are of
    /// unknown age.
    was_paused: bool,
}

#[derive(Debug, Clone, Copy)]
struct HeldReport {
    sender: SocketAddrV4,
    /// Number of the sender's message, which grows with time.
    number: u32,
    counts: OutcomeCounts,
    received_at: Millis,
}

impl Fleet {
    /// Records that the process was paused.
    pub fn resume(&mut self) {
        self.evidence.was_paused = true;
    }

    /// Whether to call [`send_reports`](Self::send_reports).
    pub fn are_reports_due(&self, now: Millis) -> bool {
        now >= self.evidence.next_send
    }

    /// Sends outcomes at targets to random other instances of the failure domain.
    pub fn send_reports(&mut self, mut reports: Vec<(Incarnation, OutcomeCounts)>, now: Millis) {
        let mut others = self.domain_members();
        if reports.is_empty()
            || others.is_empty()
            || self.is_reading() && others.len() >= MAX_READER_DOMAIN
        {
            self.evidence.next_send = now + CHECK_INTERVAL;
            return;
        }
        self.evidence.next_send = now + SEND_INTERVAL;
        // A random choice, since that of the worst targets would make the worse reports of a
        // target reach others more often than its better ones.
        self.draw_first(&mut reports, MAX_REPORTS);
        let reports: Vec<TargetReport> = reports.iter().map(TargetReport::new).collect();
        let message = Message::Evidence { domain: self.domain, number: now.0 as u32, reports };
        let size = crate::message::size(&message) + HEADER_BYTES;
        self.draw_first(&mut others, MAX_RECEIVERS.min(MAX_SENT_BYTES / size));
        for to in others {
            self.send(to, &message);
        }
    }

    /// Keeps `count` random items of a list.
    fn draw_first<T>(&mut self, items: &mut Vec<T>, count: usize) {
        for at in 0..count.min(items.len()) {
            let left = (items.len() - at) as u64;
            items.swap(at, at + (self.random.draw() % left) as usize);
        }
        items.truncate(count);
    }

    pub(super) fn receive_evidence(
        &mut self,
        from: SocketAddrV4,
        (domain, number): (DomainId, u32),
        reports: &[TargetReport],
        catalog: &Catalog,
        now: Millis,
    ) {
        let is_overdue = now.since(self.evidence.last_tick) >= FREEZE_TIME;
        let was_frozen = self.evidence.was_paused || is_overdue;
        if domain != self.domain || from == self.address || was_frozen {
            return;
        }
        for report in reports.iter().filter(|it| catalog.entry(it.target).is_some()) {
            let counts = report.counts();
            let held = HeldReport { sender: from, number, counts, received_at: now };
            self.evidence.hold(report.target, held);
        }
    }

    /// Removes expired reports.
    pub(super) fn expire_reports(&mut self, now: Millis) {
        let evidence = &mut self.evidence;
        evidence.last_tick = now;
        evidence.was_paused = false;
        let is_expired = |it: &HeldReport| now.since(it.received_at) >= REPORT_LIFETIME;
        evidence.held.retain(|_, reports| {
            let count = reports.len();
            reports.retain(|it| !is_expired(it));
            evidence.is_changed |= reports.len() < count;
            !reports.is_empty()
        });
    }

    /// Returns all reports of other instances by target, if they have changed and were not just
    /// taken.
    pub fn take_reports(
        &mut self,
        now: Millis,
    ) -> Option<impl Iterator<Item = (Incarnation, impl Iterator<Item = OutcomeCounts>)>> {
        let evidence = &mut self.evidence;
        if !evidence.is_changed || now.since(evidence.taken_at) < CHECK_INTERVAL {
            return None;
        }
        (evidence.is_changed, evidence.taken_at) = (false, now);
        let held = evidence.held.iter();
        Some(held.map(|(target, reports)| (*target, reports.iter().map(|it| it.counts))))
    }
}

impl EvidenceExchange {
    /// Holds a report in place of the sender's last one, unless that is a later one. If there
    /// are too many senders, those with the most outcomes stay.
    fn hold(&mut self, target: Incarnation, report: HeldReport) {
        let reports = self.held.entry(target).or_default();
        let outcomes = |it: &HeldReport| it.counts.served + it.counts.bad;
        if let Some(last) = reports.iter_mut().find(|it| it.sender == report.sender) {
            if !is_later(report.number, last.number) {
                return;
            }
            *last = report;
        } else if reports.len() < MAX_REPORTERS {
            reports.push(report);
        } else {
            let least = reports.iter_mut().min_by_key(|it| outcomes(it));
            let Some(least) = least.filter(|it| outcomes(it) < outcomes(&report)) else { return };
            *least = report;
        }
        self.is_changed = true;
    }
}

/// Whether a message number follows another one, which may be larger after an overflow.
fn is_later(number: u32, than: u32) -> bool {
    number.wrapping_sub(than).cast_signed() > 0
}
