//! What operators are shown, gathered when they ask.

use crate::{
    clock::Clock,
    shared::{Known, Look, Shared, Stage},
};
use medlarspur_lib::{
    ids::{FlowId, Incarnation, TargetName},
    message::ServicePlan,
    packet::FlowKey,
    settings::Settings,
    status::{
        BundleStatus, Explanation, FlowStatus, Life, MemberStatus, Owner, PlanStatus, Reason,
        ServiceStatus, Status as Shown, TargetStatus, Unready,
    },
    time::Millis,
    view::{BucketView, Registry, ServiceView, TargetId, View},
};
use medlarspur_operator::Source;
use std::{
    sync::{
        Arc,
        atomic::Ordering::Relaxed,
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::Duration,
};

/// How long an operator waits for the packet thread. It answers within a
/// round, some milliseconds; if it doesn't, less is shown.
const PATIENCE: Duration = Duration::from_millis(250);

/// Answers operators from what the threads share.
pub struct Status {
    settings: Settings,
    shared: Arc<Shared>,
    looks: SyncSender<Look>,
    clock: Clock,
}

impl Status {
    /// Shows the instance of these settings.
    pub fn new(
        settings: &Settings,
        shared: Arc<Shared>,
        looks: SyncSender<Look>,
        clock: Clock,
    ) -> Status {
        Status { settings: settings.clone(), shared, looks, clock }
    }

    fn ask<T>(&self, look: impl FnOnce(SyncSender<T>) -> Look) -> Option<T> {
        let (reply, answer): (_, Receiver<T>) = sync_channel(1);
        self.looks.try_send(look(reply)).ok()?;
        answer.recv_timeout(PATIENCE).ok()
    }

    fn bundle(&self, view: &View) -> BundleStatus {
        let signed = self.shared.signed.load();
        let (digest, key) = signed
            .as_ref()
            .map(|signed| (hex::encode(signed.digest), signed.key.to_string()))
            .unwrap_or_default();
        BundleStatus {
            version: view.bundle.version,
            digest,
            key,
            age: self.clock.now().since(Millis(self.shared.accepted.load(Relaxed))),
            conflict: self.shared.conflict.load(Relaxed),
        }
    }
}

impl Status {
    fn services(&self, view: &View, flows: &[u64]) -> Vec<ServiceStatus> {
        let plans = self.shared.plans.load();
        let status = |service: &Arc<ServiceView>| {
            let plan = plans.get(&service.spec.name).map(|plan| plan_status(plan));
            ServiceStatus { plan, ..service_status(view, service, flows) }
        };
        view.services.iter().map(status).collect()
    }
}

impl Source for Status {
    fn status(&self) -> Shown {
        let view = self.shared.view.load_full();
        let stage = self.shared.stage();
        let flows = self.ask(Look::Counts).unwrap_or_default();
        Shown {
            site: self.settings.site.clone(),
            name: self.settings.name.clone(),
            domain: self.settings.domain.clone(),
            incarnation: Incarnation(self.shared.incarnation.load(Relaxed)),
            life: life(stage),
            uptime: self.clock.uptime(),
            bundle: view.as_ref().map(|view| self.bundle(view)),
            unready: unready(stage),
            flows: self.shared.flows.load(Relaxed),
            members: view.as_ref().map(|view| members(view)).unwrap_or_default(),
            services: view.as_ref().map(|view| self.services(view, &flows)).unwrap_or_default(),
        }
    }

    fn explain(&self, flow: &FlowKey) -> Explanation {
        let view = self.shared.view.load_full();
        let known = self.ask(|reply| Look::One(*flow, reply)).flatten();
        let mut shown = Explanation {
            flow: *flow,
            id: None,
            service: None,
            class: None,
            bucket: None,
            target: None,
            reason: Reason::NoBundle,
            bundle: None,
            plan: None,
            history: Vec::new(),
            keepers: Vec::new(),
        };
        let Some(view) = view else { return shown };
        shown.bundle = Some(self.bundle(&view));
        shown.id = Some(flow_id(view.hasher.id(flow)));
        shown.reason = Reason::NoService;
        let Some((service, class)) = view.service_at(flow.service, flow.protocol) else {
            return shown;
        };
        let bucket = service.bucket(view.hasher.id(flow));
        let state = service.state(bucket);
        shown.service = Some(service.spec.name.clone());
        shown.class = Some(class);
        shown.bucket = Some(bucket);
        shown.keepers = service.keepers.of(bucket).cloned().collect();
        shown.history = owners(state, &view.registry, self.clock.now());
        let plans = self.shared.plans.load();
        let plan = plans.get(&service.spec.name);
        shown.plan = plan.map(|plan| plan_status(plan));
        let planned = plan.is_some_and(|plan| plan.moves.iter().any(|(b, _)| *b == bucket));
        let (target, reason) =
            choose(known, state, planned, view.orphaned_since(service, self.clock.now()));
        shown.target = target.map(|id| view.registry.get(id).name.clone());
        shown.reason = reason;
        shown
    }

    fn flows(&self, limit: usize) -> Vec<FlowStatus> {
        let Some(view) = self.shared.view.load_full() else { return Vec::new() };
        let some = self.ask(|reply| Look::Some(limit, reply)).unwrap_or_default();
        some.iter().filter_map(|known| flow(&view, known)).collect()
    }
}

fn life(stage: Stage) -> Life {
    match stage {
        Stage::Starting => Life::Starting,
        Stage::Serving => Life::Serving,
        Stage::Leaving => Life::Leaving,
        Stage::Stopped => Life::Stopped,
    }
}

fn unready(stage: Stage) -> Option<Unready> {
    match stage {
        Stage::Starting => Some(Unready::NoBundle),
        Stage::Serving => None,
        Stage::Leaving | Stage::Stopped => Some(Unready::Leaving),
    }
}

fn members(view: &View) -> Vec<MemberStatus> {
    let shown = |member: &medlarspur_lib::members::Member| MemberStatus {
        name: member.name.clone(),
        domain: member.domain.clone(),
        state: member.state,
        version: member.version,
    };
    view.members.iter().map(shown).collect()
}

fn service_status(view: &View, service: &ServiceView, flows: &[u64]) -> ServiceStatus {
    let targets: Vec<_> = service
        .spec
        .targets
        .iter()
        .map(|target| {
            let id = view.registry.find_by_name(&service.spec.name, &target.name);
            let buckets = service.buckets.iter().filter(|b| b.owner == id).count() as u16;
            TargetStatus {
                name: target.name.clone(),
                domain: target.domain.clone(),
                state: target.state,
                open: buckets > 0,
                flows: id.and_then(|id| flows.get(id.0 as usize)).copied().unwrap_or(0),
                buckets,
            }
        })
        .collect();
    ServiceStatus {
        name: service.spec.name.clone(),
        flows: targets.iter().map(|target| target.flows).sum(),
        buckets: service.buckets.len() as u16,
        moving: service.buckets.iter().filter(|state| state.may_have_exceptions()).count() as u16,
        plan: None,
        targets,
    }
}

fn owners(state: &BucketView, registry: &Registry, now: Millis) -> Vec<Owner> {
    let owner = |earlier: &medlarspur_lib::view::EarlierOwner| Owner {
        target: registry.get(earlier.target).name.clone(),
        since: now.since(earlier.since),
    };
    state.history().iter().map(owner).collect()
}

fn plan_status(plan: &ServicePlan) -> PlanStatus {
    let (sequence, author) = (plan.sequence, plan.author.clone());
    PlanStatus { sequence, author, moves: plan.moves.len() as u32 }
}

fn choose(
    known: Option<Known>,
    state: &BucketView,
    planned: bool,
    orphaned: Millis,
) -> (Option<TargetId>, Reason) {
    match (known, state.owner) {
        (Some(known), _) => (Some(known.flow.target), Reason::Known),
        (None, _) if state.may_have_exceptions() => (state.fallback(orphaned), Reason::History),
        (None, Some(owner)) if planned => (Some(owner), Reason::Plan),
        (None, Some(owner)) => (Some(owner), Reason::Table),
        (None, None) => (None, Reason::NoTarget),
    }
}

fn flow_id(id: FlowId) -> String {
    format!("{:016x}", id.0)
}

fn flow(view: &View, known: &Known) -> Option<FlowStatus> {
    let entry = view.registry.get(known.flow.target);
    let service = view.service(&entry.service)?;
    let state = service.state(service.bucket(known.id));
    let target: TargetName = entry.name.clone();
    Some(FlowStatus {
        id: flow_id(known.id),
        service: entry.service.clone(),
        class: known.flow.class,
        target,
        age: known.age,
        idle: known.idle,
        exception: state.owner != Some(known.flow.target),
    })
}
