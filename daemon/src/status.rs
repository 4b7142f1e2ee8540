//! Status and explanations for operators, collected on request.

use crate::{
    clock::Clock,
    shared::{FlowQuery, KnownFlow, Shared, Stage},
};
use medlarspur_lib::{
    ids::{FlowId, Incarnation, TargetName},
    message::ServicePlan,
    packet::FlowKey,
    settings::Settings,
    status::{
        BundleStatus, Explanation, FlowStatus, Life, MemberStatus, Owner, PlanStatus, Reason,
        ServiceStatus, Status, TargetStatus, Unready,
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

/// Maximum time to wait for the packet thread. It normally answers within a round, some
/// milliseconds. Without its answer, the reply to the operator leaves out its flows.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// Answers operators' requests from the state that the threads share.
pub struct StatusSource {
    settings: Settings,
    shared: Arc<Shared>,
    queries: SyncSender<FlowQuery>,
    clock: Clock,
}

impl StatusSource {
    /// Creates the source for the instance with these settings.
    pub fn new(
        settings: &Settings,
        shared: Arc<Shared>,
        queries: SyncSender<FlowQuery>,
        clock: Clock,
    ) -> StatusSource {
        StatusSource { settings: settings.clone(), shared, queries, clock }
    }

    fn request<T>(&self, query: impl FnOnce(SyncSender<T>) -> FlowQuery) -> Option<T> {
        let (reply, answer): (_, Receiver<T>) = sync_channel(1);
        self.queries.try_send(query(reply)).ok()?;
        answer.recv_timeout(REPLY_TIMEOUT).ok()
    }

    fn bundle(&self, view: &View) -> BundleStatus {
        let signed = self.shared.signed_bundle.load();
        let (digest, key) = signed
            .as_ref()
            .map(|signed| (hex::encode(signed.digest), signed.key.to_string()))
            .unwrap_or_default();
        BundleStatus {
            version: view.bundle.version,
            digest,
            key,
            age: self.clock.now().since(Millis(self.shared.accepted_at.load(Relaxed))),
            conflict: self.shared.conflict.load(Relaxed),
        }
    }
}

impl StatusSource {
    fn services(&self, view: &View, flows: &[u64]) -> Vec<ServiceStatus> {
        let plans = self.shared.plans.load();
        let status = |service: &Arc<ServiceView>| {
            let plan = plans.get(&service.spec.name).map(|plan| plan_status(plan));
            ServiceStatus { plan, ..service_status(view, service, flows) }
        };
        view.services.iter().map(status).collect()
    }
}

impl Source for StatusSource {
    fn status(&self) -> Status {
        let view = self.shared.view.load_full();
        let stage = self.shared.stage();
        let flows = self.request(FlowQuery::Counts).unwrap_or_default();
        Status {
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
        let known = self.request(|reply| FlowQuery::One(*flow, reply)).flatten();
        let mut explanation = Explanation {
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
        let Some(view) = view else { return explanation };
        explanation.bundle = Some(self.bundle(&view));
        explanation.id = Some(flow_id(view.hasher.id(flow)));
        explanation.reason = Reason::NoService;
        let Some((service, class)) = view.service_at(flow.service, flow.protocol) else {
            return explanation;
        };
        let bucket = service.bucket(view.hasher.id(flow));
        let state = service.state(bucket);
        explanation.service = Some(service.spec.name.clone());
        explanation.class = Some(class);
        explanation.bucket = Some(bucket);
        explanation.keepers = service.keepers.of(bucket).cloned().collect();
        explanation.history = owners(state, &view.registry, self.clock.now());
        let plans = self.shared.plans.load();
        let plan = plans.get(&service.spec.name);
        explanation.plan = plan.map(|plan| plan_status(plan));
        let planned = plan.is_some_and(|plan| plan.moves.iter().any(|(b, _)| *b == bucket));
        let (target, reason) =
            explain_choice(known, state, planned, view.orphaned_since(service, self.clock.now()));
        explanation.target = target.map(|id| view.registry.get(id).name.clone());
        explanation.reason = reason;
        explanation
    }

    fn flows(&self, limit: usize) -> Vec<FlowStatus> {
        let Some(view) = self.shared.view.load_full() else { return Vec::new() };
        let flows = self.request(|reply| FlowQuery::List(limit, reply)).unwrap_or_default();
        flows.iter().filter_map(|known| flow(&view, known)).collect()
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
    let status = |member: &medlarspur_lib::members::Member| MemberStatus {
        name: member.name.clone(),
        domain: member.domain.clone(),
        state: member.state,
        version: member.version,
    };
    view.members.iter().map(status).collect()
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

fn explain_choice(
    known: Option<KnownFlow>,
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

fn flow(view: &View, known: &KnownFlow) -> Option<FlowStatus> {
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
