//! The decisions on openings, bound to the packet path: it translates between
//! the targets of the view and the positions that the decisions work with.
//!
//! A target that leaves takes new work for as long as it owns a bucket: a move
//! is carried out up to 1.2 s after the bundle that causes it, and until then
//! its new flows go to the old owner. Refused there by the bundle's word alone,
//! callers are turned away during each planned change while the other targets
//! have room.
//!
//! An instance that slept may learn of a bundle long after the others. It still
//! waits with the moves, but the others have carried them out, and the target
//! may be about to go down: work placed there would be cut. Until its news is
//! fresh again, it goes by the bundle's word.

use medlarspur_lib::{
    bundle::{Class, Limits, Service, TargetState},
    collections::Map,
    control::DISTRUST,
    flows::{Belief, Flow, FlowMap},
    forwarder::{Gate, Opening, Verdict as Opened},
    ids::{FlowId, ServiceIx, TargetIx, TargetName},
    members::MemberState,
    time::Millis,
    view::{ServiceView, TargetId, View},
};
use medlarspur_load as load;
use medlarspur_operator::{ClassMeters, Meters};
use medlarspur_target::{Event, Verdict};
use std::{sync::Arc, time::Duration};

/// What a caller is told before anything was measured.
const DEFAULT_RETRY_AFTER: Millis = Millis::secs(1);

/// How long an opening may wait undecided; far longer than any patience. One
/// whose service is gone is never decided and would be remembered forever.
const MAX_WAITING_AGE: Millis = Millis::secs(10);

/// Where what happens to one class of a service is recorded.
type Recorder = Arc<ClassMeters>;

/// A target that leaves and still owns a bucket.
#[derive(Debug, Clone, Copy)]
struct LeavingOwner {
    service: ServiceIx,
    target: TargetIx,
    id: TargetId,
    /// The revision of the service that this was seen in.
    revision: u64,
}

/// The gate of one instance.
pub struct LoadGate {
    meters: Meters,
    recorders: Map<(ServiceIx, Class), Recorder>,
    /// Openings that wait, since when.
    waiting: FlowMap<(Millis, Recorder)>,
    gate: load::Gate,
    positions: Map<TargetId, (ServiceIx, TargetIx)>,
    names: Map<TargetName, TargetId>,
    /// Few or none: a view is published often, and only these are looked at.
    leaving_owners: Vec<LeavingOwner>,
    retry_after: Vec<Millis>,
    decided: Vec<(FlowId, load::Verdict)>,
    version: Option<medlarspur_lib::ids::Version>,
    /// Until when the bundle may be news to this instance alone.
    distrust_until: Millis,
}

impl LoadGate {
    /// Decides with the default settings and records in `meters`. `seed`
    /// differs for each instance, so that no two spread their refusals alike.
    pub fn new(seed: u64, meters: Meters) -> LoadGate {
        LoadGate {
            meters,
            recorders: Map::default(),
            waiting: FlowMap::default(),
            gate: load::Gate::new(load::Settings::default(), seed),
            positions: Map::default(),
            names: Map::default(),
            leaving_owners: Vec::new(),
            retry_after: Vec::new(),
            decided: Vec::new(),
            version: None,
            distrust_until: Millis(0),
        }
    }

    /// Says that this process slept.
    pub fn resume(&mut self, now: Millis) {
        self.distrust_until = now + DISTRUST;
        for owner in self.leaving_owners.drain(..) {
            self.gate.leave(owner.service, owner.target);
        }
    }

    fn install_bundle(&mut self, view: &View, now: Millis) {
        self.gate.set_settings(load_settings(&view.bundle.limits));
        let mut services: Vec<_> =
            view.bundle.services.iter().map(|spec| service_load(spec)).collect();
        self.leaving_owners =
            if now < self.distrust_until { Vec::new() } else { find_leaving_owners(view) };
        for LeavingOwner { service, target, .. } in &self.leaving_owners {
            let service = &mut services[usize::from(service.0)];
            service.targets[usize::from(target.0)].state = TargetState::Active;
        }
        self.gate.set_services(now, services);
        self.retry_after = vec![DEFAULT_RETRY_AFTER; view.bundle.services.len()];
        self.waiting.retain(|_, (since, _)| now.since(*since) < MAX_WAITING_AGE);
        self.positions.clear();
        self.recorders.clear();
        self.names.clear();
        for (at, spec) in view.bundle.services.iter().enumerate() {
            for port in &spec.ports {
                let recorder = self.meters.class(&spec.name, port.class);
                self.recorders.insert((ServiceIx(at as u16), port.class), recorder);
            }
            for (position, target) in spec.targets.iter().enumerate() {
                if let Some(id) = view.registry.named(&spec.name, &target.name) {
                    self.positions.insert(id, (ServiceIx(at as u16), TargetIx(position as u16)));
                    self.names.insert(target.name.clone(), id);
                }
            }
        }
    }

    /// Takes what a target's endpoint said, or that it said nothing.
    pub fn record_probe(&mut self, now: Millis, event: &Event) {
        let Some(&target) = self.names.get(&event.target) else { return };
        let signal = match &event.told {
            Some(told) => load::Signal::Told(load::Told {
                healthy: event.verdict == Verdict::Healthy,
                draining: told.draining,
                slots: told.slots,
                connections: told.connections,
            }),
            None => load::Signal::Mute,
        };
        self.report_signal(now, target, signal);
    }

    /// Closes the leaving targets whose last bucket has moved. Within a bundle
    /// no leaving target gets a bucket back.
    fn close_moved(&mut self, view: &View) {
        let gate = &mut self.gate;
        self.leaving_owners.retain_mut(|owner| {
            let service = &view.services[usize::from(owner.service.0)];
            if service.revision == owner.revision {
                return true;
            }
            owner.revision = service.revision;
            let owns_bucket = owns_bucket(service, owner.id);
            if !owns_bucket {
                gate.leave(owner.service, owner.target);
            }
            owns_bucket
        });
    }

    fn set_retry_after(&mut self, service: ServiceIx, after: Millis) {
        if let Some(wait) = self.retry_after.get_mut(usize::from(service.0)) {
            *wait = after;
        }
    }

    fn recorder(&self, target: TargetId, class: Class) -> Option<&Recorder> {
        let &(service, _) = self.positions.get(&target)?;
        self.recorders.get(&(service, class))
    }

    /// Remembers since when an opening waits, or records that it did not.
    fn record_verdict(&mut self, now: Millis, opening: &Opening, verdict: load::Verdict) {
        let Some(recorder) = self.recorder(opening.target, opening.class) else { return };
        let recorder = recorder.clone();
        match verdict {
            load::Verdict::Wait { .. } => {
                self.waiting.entry(opening.flow).or_insert((now, recorder));
            }
            load::Verdict::Admit if !self.waiting.contains_key(&opening.flow) => {
                recorder.wait(Duration::ZERO);
            }
            _ => self.record_wait(now, opening.flow, verdict),
        }
    }

    /// Records how long an opening waited, if it was admitted in the end.
    fn record_wait(&mut self, now: Millis, flow: FlowId, verdict: load::Verdict) {
        let Some((since, recorder)) = self.waiting.remove(&flow) else { return };
        if matches!(verdict, load::Verdict::Admit) {
            recorder.wait(to_duration(now.since(since)));
        }
    }

    fn report_signal(&mut self, now: Millis, target: TargetId, signal: load::Signal) {
        if let Some(&(service, target)) = self.positions.get(&target) {
            self.gate.seen(now, service, target, signal);
        }
    }
}

impl Gate for LoadGate {
    fn open(&mut self, now: Millis, opening: &Opening) -> Opened {
        let Some(&(service, target)) = self.positions.get(&opening.target) else {
            return Opened::Refuse { after: DEFAULT_RETRY_AFTER };
        };
        let Opening { flow, caller, class, .. } = *opening;
        let verdict = self.gate.open(now, &load::Opening { flow, caller, service, class, target });
        self.record_verdict(now, opening, verdict);
        if let load::Verdict::Refuse { after } = verdict {
            self.set_retry_after(service, after);
        }
        convert_verdict(verdict)
    }

    fn due(&mut self, now: Millis, decided: &mut Vec<(FlowId, Opened)>) {
        self.gate.due(now, &mut self.decided);
        for (flow, verdict) in std::mem::take(&mut self.decided) {
            self.record_wait(now, flow, verdict);
            decided.push((flow, convert_verdict(verdict)));
        }
    }

    fn after(&self, _: FlowId, target: Option<TargetId>) -> Millis {
        let position = target.and_then(|target| self.positions.get(&target));
        let wait = position.and_then(|(service, _)| self.retry_after.get(usize::from(service.0)));
        wait.copied().unwrap_or(DEFAULT_RETRY_AFTER)
    }

    fn followed(&mut self, now: Millis, target: TargetId, class: Class, after: Millis) {
        if let Some(recorder) = self.recorder(target, class) {
            recorder.handshake(to_duration(after));
        }
        self.report_signal(now, target, load::Signal::Followed { after: Some(after) });
    }

    fn aborted(&mut self, now: Millis, target: TargetId) {
        self.report_signal(now, target, load::Signal::Reset);
    }

    fn closed(&mut self, now: Millis, id: FlowId, flow: &Flow) {
        // Packets of a flow may pass any instance; only the one that opened it
        // knows how long it lasted.
        if flow.belief == Belief::Opened
            && let Some(recorder) = self.recorder(flow.target, flow.class)
        {
            recorder.length(to_duration(flow.age(now)));
        }
        if let Some(&(service, target)) = self.positions.get(&flow.target) {
            let closing = load::Closing { flow: id, service, class: flow.class, target };
            self.gate.closed(now, &closing);
        }
    }

    fn follow(&mut self, view: &View, now: Millis) {
        let live = view.members.iter().filter(|member| member.state == MemberState::Live).count();
        self.gate.set_instances(live.max(1) as u16);
        if self.version != Some(view.bundle.version) {
            self.version = Some(view.bundle.version);
            self.install_bundle(view, now);
        }
        self.close_moved(view);
    }
}

/// The leaving targets that still own a bucket. A service whose buckets never
/// moved has none, which spares a large site the look at most of its buckets.
fn find_leaving_owners(view: &View) -> Vec<LeavingOwner> {
    let mut owners = Vec::new();
    for (at, service) in view.services.iter().enumerate() {
        if service.revision == 0 {
            continue;
        }
        for (position, target) in service.spec.targets.iter().enumerate() {
            if target.state == TargetState::Active {
                continue;
            }
            let id = view.registry.named(&service.spec.name, &target.name);
            if let Some(id) = id.filter(|id| owns_bucket(service, *id)) {
                owners.push(LeavingOwner {
                    service: ServiceIx(at as u16),
                    target: TargetIx(position as u16),
                    id,
                    revision: service.revision,
                });
            }
        }
    }
    owners
}

fn owns_bucket(service: &ServiceView, target: TargetId) -> bool {
    service.buckets.iter().any(|bucket| bucket.owner == Some(target))
}

fn to_duration(millis: Millis) -> Duration {
    Duration::from_millis(millis.0)
}

fn convert_verdict(verdict: load::Verdict) -> Opened {
    match verdict {
        load::Verdict::Admit => Opened::Admit,
        load::Verdict::Wait { .. } => Opened::Wait,
        load::Verdict::Refuse { after } => Opened::Refuse { after },
    }
}

/// The settings of the decisions: what the bundle sets, and their defaults.
pub fn load_settings(limits: &Limits) -> load::Settings {
    let default = load::Settings::default();
    load::Settings {
        reserve: limits.reserve.unwrap_or(default.reserve),
        caller: limits.caller.unwrap_or(default.caller),
        network: limits.network.unwrap_or(default.network),
        booking: limits.booking.unwrap_or(default.booking),
        patience: limits.patience.unwrap_or(default.patience),
        retries: limits.retries.unwrap_or(default.retries),
    }
}

fn service_load(spec: &Service) -> load::ServiceLoad {
    let targets = spec.targets.iter().map(|target| load::TargetLoad {
        name: target.name.clone(),
        slots: target.slots,
        connections: target.connections,
        weight: target.weight,
        state: target.state,
    });
    load::ServiceLoad {
        name: spec.name.clone(),
        requests: spec.ports.iter().any(|port| port.class == Class::Request),
        balance: spec.balance,
        targets: targets.collect(),
    }
}
