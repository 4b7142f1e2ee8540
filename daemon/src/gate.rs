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
    control::STALE_TIME,
    flows::{Certainty, Flow, FlowMap},
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
const FIRST_WAIT: Millis = Millis::secs(1);

/// How long an opening may wait undecided; far longer than any patience. One
/// whose service is gone is never decided and would be remembered forever.
const FORGOTTEN: Millis = Millis::secs(10);

/// Where what happens to one class of a service is recorded.
type Recorder = Arc<ClassMeters>;

/// A target that leaves and still owns a bucket.
#[derive(Debug, Clone, Copy)]
struct Holder {
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
    places: Map<TargetId, (ServiceIx, TargetIx)>,
    names: Map<TargetName, TargetId>,
    /// Few or none: a view is published often, and only these are looked at.
    holders: Vec<Holder>,
    waits: Vec<Millis>,
    decided: Vec<(FlowId, load::Verdict)>,
    version: Option<medlarspur_lib::ids::Version>,
    /// Until when the bundle may be news to this instance alone.
    waking: Millis,
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
            places: Map::default(),
            names: Map::default(),
            holders: Vec::new(),
            waits: Vec::new(),
            decided: Vec::new(),
            version: None,
            waking: Millis(0),
        }
    }

    /// Says that this process slept.
    pub fn wake(&mut self, now: Millis) {
        self.waking = now + STALE_TIME;
        for holder in self.holders.drain(..) {
            self.gate.mark_leaving(holder.service, holder.target);
        }
    }

    fn install(&mut self, view: &View, now: Millis) {
        self.gate.set_settings(settings(&view.bundle.limits));
        let mut services: Vec<_> =
            view.bundle.services.iter().map(|spec| service_load(spec)).collect();
        self.holders = if now < self.waking { Vec::new() } else { holders(view) };
        for Holder { service, target, .. } in &self.holders {
            let service = &mut services[usize::from(service.0)];
            service.targets[usize::from(target.0)].state = TargetState::Active;
        }
        self.gate.set_services(now, services);
        self.waits = vec![FIRST_WAIT; view.bundle.services.len()];
        self.waiting.retain(|_, (since, _)| now.since(*since) < FORGOTTEN);
        self.places.clear();
        self.recorders.clear();
        self.names.clear();
        for (at, spec) in view.bundle.services.iter().enumerate() {
            for port in &spec.ports {
                let recorder = self.meters.class(&spec.name, port.class);
                self.recorders.insert((ServiceIx(at as u16), port.class), recorder);
            }
            for (position, target) in spec.targets.iter().enumerate() {
                if let Some(id) = view.registry.find_by_name(&spec.name, &target.name) {
                    self.places.insert(id, (ServiceIx(at as u16), TargetIx(position as u16)));
                    self.names.insert(target.name.clone(), id);
                }
            }
        }
    }

    /// Takes what a target's endpoint said, or that it said nothing.
    pub fn probed(&mut self, now: Millis, event: &Event) {
        let Some(&target) = self.names.get(&event.target) else { return };
        let signal = match &event.told {
            Some(told) => load::Signal::Report(load::Report {
                healthy: event.verdict == Verdict::Healthy,
                draining: told.draining,
                work: told.slots,
                connections: told.connections,
            }),
            None => load::Signal::NoReport,
        };
        self.signal(now, target, signal);
    }

    /// Closes the leaving targets whose last bucket has moved. Within a bundle
    /// no leaving target gets a bucket back.
    fn release(&mut self, view: &View) {
        let gate = &mut self.gate;
        self.holders.retain_mut(|holder| {
            let service = &view.services[usize::from(holder.service.0)];
            if service.revision == holder.revision {
                return true;
            }
            holder.revision = service.revision;
            let owns = owns(service, holder.id);
            if !owns {
                gate.mark_leaving(holder.service, holder.target);
            }
            owns
        });
    }

    fn note_wait(&mut self, service: ServiceIx, after: Millis) {
        if let Some(wait) = self.waits.get_mut(usize::from(service.0)) {
            *wait = after;
        }
    }

    fn recorder(&self, target: TargetId, class: Class) -> Option<&Recorder> {
        let &(service, _) = self.places.get(&target)?;
        self.recorders.get(&(service, class))
    }

    /// Remembers since when an opening waits, or records that it did not.
    fn note_verdict(&mut self, now: Millis, opening: &Opening, verdict: load::Verdict) {
        let Some(recorder) = self.recorder(opening.target, opening.class) else { return };
        let recorder = recorder.clone();
        match verdict {
            load::Verdict::Wait { .. } => {
                self.waiting.entry(opening.flow).or_insert((now, recorder));
            }
            load::Verdict::Admit if !self.waiting.contains_key(&opening.flow) => {
                recorder.wait(Duration::ZERO);
            }
            _ => self.note_decided(now, opening.flow, verdict),
        }
    }

    /// Records how long an opening waited, if it was admitted in the end.
    fn note_decided(&mut self, now: Millis, flow: FlowId, verdict: load::Verdict) {
        let Some((since, recorder)) = self.waiting.remove(&flow) else { return };
        if matches!(verdict, load::Verdict::Admit) {
            recorder.wait(span(now.since(since)));
        }
    }

    fn signal(&mut self, now: Millis, target: TargetId, signal: load::Signal) {
        if let Some(&(service, target)) = self.places.get(&target) {
            self.gate.record_signal(now, service, target, signal);
        }
    }
}

impl Gate for LoadGate {
    fn open(&mut self, now: Millis, opening: &Opening) -> Opened {
        let Some(&(service, target)) = self.places.get(&opening.target) else {
            return Opened::Refuse { after: FIRST_WAIT };
        };
        let Opening { flow, caller, class, .. } = *opening;
        let verdict = self.gate.open(now, &load::Opening { flow, caller, service, class, target });
        self.note_verdict(now, opening, verdict);
        if let load::Verdict::Refuse { after } = verdict {
            self.note_wait(service, after);
        }
        translate(verdict)
    }

    fn due(&mut self, now: Millis, decided: &mut Vec<(FlowId, Opened)>) {
        self.gate.collect_verdicts(now, &mut self.decided);
        for (flow, verdict) in std::mem::take(&mut self.decided) {
            self.note_decided(now, flow, verdict);
            decided.push((flow, translate(verdict)));
        }
    }

    fn retry_after(&self, _: FlowId, target: Option<TargetId>) -> Millis {
        let place = target.and_then(|target| self.places.get(&target));
        let wait = place.and_then(|(service, _)| self.waits.get(usize::from(service.0)));
        wait.copied().unwrap_or(FIRST_WAIT)
    }

    fn on_second_packet(&mut self, now: Millis, target: TargetId, class: Class, after: Millis) {
        if let Some(recorder) = self.recorder(target, class) {
            recorder.handshake(span(after));
        }
        self.signal(now, target, load::Signal::Established { after: Some(after) });
    }

    fn on_abort(&mut self, now: Millis, target: TargetId) {
        self.signal(now, target, load::Signal::Reset);
    }

    fn on_close(&mut self, now: Millis, id: FlowId, flow: &Flow) {
        // Packets of a flow may pass any instance; only the one that opened it
        // knows how long it lasted.
        if flow.certainty == Certainty::Opened
            && let Some(recorder) = self.recorder(flow.target, flow.class)
        {
            recorder.length(span(flow.age(now)));
        }
        if let Some(&(service, target)) = self.places.get(&flow.target) {
            let closing = load::Closing { flow: id, service, class: flow.class, target };
            self.gate.record_closing(now, &closing);
        }
    }

    fn set_view(&mut self, view: &View, now: Millis) {
        let live = view.members.iter().filter(|member| member.state == MemberState::Live).count();
        self.gate.set_instances(live.max(1) as u16);
        if self.version != Some(view.bundle.version) {
            self.version = Some(view.bundle.version);
            self.install(view, now);
        }
        self.release(view);
    }
}

/// The leaving targets that still own a bucket. A service whose buckets never
/// moved has none, which spares a large site the look at most of its buckets.
fn holders(view: &View) -> Vec<Holder> {
    let mut found = Vec::new();
    for (at, service) in view.services.iter().enumerate() {
        if service.revision == 0 {
            continue;
        }
        for (position, target) in service.spec.targets.iter().enumerate() {
            if target.state == TargetState::Active {
                continue;
            }
            let id = view.registry.find_by_name(&service.spec.name, &target.name);
            if let Some(id) = id.filter(|id| owns(service, *id)) {
                found.push(Holder {
                    service: ServiceIx(at as u16),
                    target: TargetIx(position as u16),
                    id,
                    revision: service.revision,
                });
            }
        }
    }
    found
}

fn owns(service: &ServiceView, target: TargetId) -> bool {
    service.buckets.iter().any(|bucket| bucket.owner == Some(target))
}

fn span(millis: Millis) -> Duration {
    Duration::from_millis(millis.0)
}

fn translate(verdict: load::Verdict) -> Opened {
    match verdict {
        load::Verdict::Admit => Opened::Admit,
        load::Verdict::Wait { .. } => Opened::Wait,
        load::Verdict::Refuse { after } => Opened::Refuse { after },
    }
}

/// The settings of the decisions: what the bundle sets, and their defaults.
pub fn settings(limits: &Limits) -> load::Settings {
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

fn service_load(spec: &Service) -> load::ServiceSpec {
    let targets = spec.targets.iter().map(|target| load::TargetSpec {
        name: target.name.clone(),
        slots: target.slots,
        connections: target.connections,
        weight: target.weight,
        state: target.state,
    });
    load::ServiceSpec {
        name: spec.name.clone(),
        has_requests: spec.ports.iter().any(|port| port.class == Class::Request),
        balance: spec.balance,
        targets: targets.collect(),
    }
}
