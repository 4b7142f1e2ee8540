//! Admission control on the packet path: an adapter between the forwarder, which
//! identifies targets by their ids in the view, and the crate `medlarspur_load`, which
//! identifies them by their positions in the bundle.
//!
//! A leaving target accepts new flows as long as it owns a bucket. A bucket's move takes
//! effect up to 1.2 s after the bundle that causes it, and until then new flows of the
//! bucket go to the old owner. If that owner refused them as soon as the bundle says that
//! it leaves, callers would be turned away during every planned change although other
//! targets have capacity.
//!
//! An instance whose process slept may learn of a bundle long after the others. It would
//! still wait before it carries out the moves. But the others have already done so, and the
//! leaving target may stop at any moment and cut the flows placed there. So while the view
//! may be stale, the instance refuses new flows at each target that the bundle marks as
//! leaving.

use medlarspur_lib::{
    bundle::{Class, Limits, Service, TargetState},
    collections::Map,
    control::STALE_TIME,
    flows::{Certainty, Flow, FlowMap},
    forwarder::{Gate, Opening, Verdict},
    ids::{FlowId, ServiceIx, TargetIx, TargetName},
    members::MemberState,
    time::Millis,
    view::{ServiceView, TargetId, View},
};
use medlarspur_load as load;
use medlarspur_operator::{ClassMeters, Meters};
use medlarspur_target::{Event, HealthVerdict};
use std::{sync::Arc, time::Duration};

/// Retry delay given to a refused caller while none has been estimated.
const DEFAULT_RETRY_AFTER: Millis = Millis::secs(1);

/// Age at which an undecided opening is dropped from the records; far longer than any
/// opening may wait. An opening whose service is gone is never decided and would stay
/// recorded forever.
const MAX_WAITING_AGE: Millis = Millis::secs(10);

/// Histograms of one class of a service.
type Recorder = Arc<ClassMeters>;

/// A leaving target that still owns a bucket.
#[derive(Debug, Clone, Copy)]
struct LeavingOwner {
    service: ServiceIx,
    target: TargetIx,
    id: TargetId,
    /// Revision of the service at which the ownership was last checked.
    revision: u64,
}

/// Admission control of one instance.
pub struct LoadGate {
    meters: Meters,
    recorders: Map<(ServiceIx, Class), Recorder>,
    /// Waiting openings, with the start of the wait.
    waiting: FlowMap<(Millis, Recorder)>,
    gate: load::Gate,
    positions: Map<TargetId, (ServiceIx, TargetIx)>,
    names: Map<TargetName, TargetId>,
    /// Leaving targets that still own a bucket, usually few or none. Views are
    /// published often, and only these targets are checked for each.
    leaving_owners: Vec<LeavingOwner>,
    retry_after: Vec<Millis>,
    decided: Vec<(FlowId, load::Verdict)>,
    version: Option<medlarspur_lib::ids::Version>,
    /// Time until which the view may be stale after a sleep of the process.
    stale_until: Millis,
}

impl LoadGate {
    /// Creates a gate with the default settings that records in `meters`. `seed` must
    /// differ between instances, so that they spread refusals over different callers.
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
            stale_until: Millis(0),
        }
    }

    /// Closes all leaving targets after a sleep of the process.
    pub fn wake(&mut self, now: Millis) {
        self.stale_until = now + STALE_TIME;
        for owner in self.leaving_owners.drain(..) {
            self.gate.mark_leaving(owner.service, owner.target);
        }
    }

    fn install_bundle(&mut self, view: &View, now: Millis) {
        self.gate.set_settings(load_settings(&view.bundle.limits));
        let mut services: Vec<_> =
            view.bundle.services.iter().map(|spec| service_spec(spec)).collect();
        self.leaving_owners =
            if now < self.stale_until { Vec::new() } else { find_leaving_owners(view) };
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
                if let Some(id) = view.registry.find_by_name(&spec.name, &target.name) {
                    self.positions.insert(id, (ServiceIx(at as u16), TargetIx(position as u16)));
                    self.names.insert(target.name.clone(), id);
                }
            }
        }
    }

    /// Records the result of a probe: the target's own report, or that there was none.
    pub fn record_probe(&mut self, now: Millis, event: &Event) {
        let Some(&target) = self.names.get(&event.target) else { return };
        let signal = match &event.report {
            Some(report) => load::Signal::Report(load::LoadReport {
                healthy: event.verdict == HealthVerdict::Healthy,
                draining: report.draining,
                work: report.slots,
                connections: report.connections,
            }),
            None => load::Signal::NoReport,
        };
        self.report_signal(now, target, signal);
    }

    /// Closes the leaving targets whose last bucket has moved. No leaving target regains
    /// a bucket within a bundle.
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
                gate.mark_leaving(owner.service, owner.target);
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

    /// Stores the start of an opening's wait, or records a wait of zero.
    fn record_verdict(&mut self, now: Millis, opening: &Opening, verdict: load::Verdict) {
        let Some(recorder) = self.recorder(opening.target, opening.class) else { return };
        let recorder = recorder.clone();
        match verdict {
            load::Verdict::Wait { .. } => {
                self.waiting.entry(opening.flow).or_insert((now, recorder));
            }
            load::Verdict::Admit if !self.waiting.contains_key(&opening.flow) => {
                recorder.record_wait(Duration::ZERO);
            }
            _ => self.record_wait(now, opening.flow, verdict),
        }
    }

    /// Removes a decided opening, and records its wait if it was admitted.
    fn record_wait(&mut self, now: Millis, flow: FlowId, verdict: load::Verdict) {
        let Some((since, recorder)) = self.waiting.remove(&flow) else { return };
        if matches!(verdict, load::Verdict::Admit) {
            recorder.record_wait(to_duration(now.since(since)));
        }
    }

    fn report_signal(&mut self, now: Millis, target: TargetId, signal: load::Signal) {
        if let Some(&(service, target)) = self.positions.get(&target) {
            self.gate.record_signal(now, service, target, signal);
        }
    }
}

impl Gate for LoadGate {
    fn open(&mut self, now: Millis, opening: &Opening) -> Verdict {
        let Some(&(service, target)) = self.positions.get(&opening.target) else {
            return Verdict::Refuse { after: DEFAULT_RETRY_AFTER };
        };
        let Opening { flow, caller, class, .. } = *opening;
        let verdict = self.gate.open(now, &load::Opening { flow, caller, service, class, target });
        self.record_verdict(now, opening, verdict);
        if let load::Verdict::Refuse { after } = verdict {
            self.set_retry_after(service, after);
        }
        convert_verdict(verdict)
    }

    fn due(&mut self, now: Millis, decided: &mut Vec<(FlowId, Verdict)>) {
        self.gate.collect_verdicts(now, &mut self.decided);
        for (flow, verdict) in std::mem::take(&mut self.decided) {
            self.record_wait(now, flow, verdict);
            decided.push((flow, convert_verdict(verdict)));
        }
    }

    fn retry_after(&self, _: FlowId, target: Option<TargetId>) -> Millis {
        let position = target.and_then(|target| self.positions.get(&target));
        let wait = position.and_then(|(service, _)| self.retry_after.get(usize::from(service.0)));
        wait.copied().unwrap_or(DEFAULT_RETRY_AFTER)
    }

    fn on_second_packet(&mut self, now: Millis, target: TargetId, class: Class, after: Millis) {
        if let Some(recorder) = self.recorder(target, class) {
            recorder.record_handshake(to_duration(after));
        }
        self.report_signal(now, target, load::Signal::Established { after: Some(after) });
    }

    fn on_abort(&mut self, now: Millis, target: TargetId) {
        self.report_signal(now, target, load::Signal::Reset);
    }

    fn on_close(&mut self, now: Millis, id: FlowId, flow: &Flow) {
        // A flow's packets may pass through any instance; only the one that opened the
        // flow knows its duration.
        if flow.certainty == Certainty::Opened
            && let Some(recorder) = self.recorder(flow.target, flow.class)
        {
            recorder.record_lifetime(to_duration(flow.age(now)));
        }
        if let Some(&(service, target)) = self.positions.get(&flow.target) {
            let closing = load::Closing { flow: id, service, class: flow.class, target };
            self.gate.record_closing(now, &closing);
        }
    }

    fn set_view(&mut self, view: &View, now: Millis) {
        let live = view.members.iter().filter(|member| member.state == MemberState::Live).count();
        self.gate.set_instances(live.max(1) as u16);
        if self.version != Some(view.bundle.version) {
            self.version = Some(view.bundle.version);
            self.install_bundle(view, now);
        }
        self.close_moved(view);
    }
}

/// Returns the leaving targets that still own a bucket. Services at revision 0, whose
/// buckets never moved, have none and are skipped, which on a large site are most.
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
            let id = view.registry.find_by_name(&service.spec.name, &target.name);
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

fn convert_verdict(verdict: load::Verdict) -> Verdict {
    match verdict {
        load::Verdict::Admit => Verdict::Admit,
        load::Verdict::Wait { .. } => Verdict::Wait,
        load::Verdict::Refuse { after } => Verdict::Refuse { after },
    }
}

/// Returns the settings for `medlarspur_load`: those of the bundle, and defaults for the
/// rest.
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

fn service_spec(spec: &Service) -> load::ServiceSpec {
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
