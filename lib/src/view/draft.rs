//! The transaction that turns one view into the next.

use super::{
    BucketView, Departure, EarlierOwner, PENDING_LIMIT, PUBLISH_DELAY, PendingMove, Ports,
    Registry, ServiceKey, ServiceView, Stamp, TargetId, View,
};
use crate::{
    bundle::{Bundle, Service, TargetState},
    collections::{Map, Set},
    ids::{Bucket, DomainName, InstanceName, ServiceName, TargetName, Version},
    keepers::Keepers,
    members::{Member, MemberState},
    message::{History, ServicePlan},
    packet::FlowHasher,
    table,
    time::Millis,
};
use std::sync::Arc;

/// Maximum time that departures are remembered; no keep-alive interval may be
/// longer.
const MAX_SILENCE: Millis = Millis::secs(3_600);

/// Collects changes to a view and publishes them together.
#[derive(Debug)]
pub struct Draft {
    view: View,
    plans: Map<ServiceName, ServicePlan>,
    changed: bool,
    /// Time until which nothing is published after the first bundle.
    publish_at: Option<Millis>,
}

impl Draft {
    /// Creates a draft from the first bundle that an instance accepts. Its
    /// buckets have their owners at once: this instance has moved nothing yet,
    /// and earlier moves arrive as history from the others.
    ///
    /// Nothing is published before [`PUBLISH_DELAY`] has passed. Otherwise a
    /// new instance would open flows at owners unknown to an instance that is
    /// behind, or before the others know the new instance and can ask it, or
    /// would forward unknown flows before it knows which buckets have moved.
    pub fn first(me: InstanceName, bundle: &Arc<Bundle>, now: Millis) -> Draft {
        let view = View {
            epoch: 0,
            bundle: bundle.clone(),
            hasher: FlowHasher::new(bundle.seed),
            registry: Arc::default(),
            services: Vec::new(),
            members: Arc::from([]),
            me,
            leaving: false,
            departed: vec![Departure { noticed: now, assumed: true }],
            ports: Arc::default(),
            keys: Arc::default(),
        };
        let publish_at = Some(now + PUBLISH_DELAY);
        let mut draft = Draft { view, plans: Map::default(), changed: true, publish_at };
        draft.install(bundle, now);
        draft
    }

    /// The view with the changes made so far.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Puts a bundle in force. Moved buckets become pending. A service that the
    /// bundle leaves unchanged keeps its table: each of thousands of changes a
    /// day touches a few services, and assigning all buckets again would take
    /// seconds and twice the memory.
    pub fn install(&mut self, bundle: &Arc<Bundle>, now: Millis) {
        self.changed = true;
        self.view.bundle = bundle.clone();
        self.view.hasher = FlowHasher::new(bundle.seed);
        let cause = Some(bundle.version);
        let mut registry = (*self.view.registry).clone();
        let old: Map<_, _> = self.view.services.iter().map(|s| (&s.spec.name, s)).collect();
        let services: Vec<_> = (bundle.services.iter())
            .map(|spec| match old.get(&spec.name) {
                Some(same) if same.spec == *spec => (*same).clone(),
                old => self.build_service(spec, old.copied(), &mut registry, now, cause),
            })
            .collect();
        self.view.registry = Arc::new(registry);
        self.view.services = services;
        self.view.ports = Arc::new(port_map(bundle));
        let keys = self.view.services.iter().enumerate().map(|(at, s)| (s.key, at)).collect();
        self.view.keys = Arc::new(keys);
    }

    /// Applies the plan of a service.
    pub fn apply_plan(&mut self, plan: ServicePlan, now: Millis) {
        let name = plan.service.clone();
        self.plans.insert(name.clone(), plan);
        let Some(position) = self.view.services.iter().position(|s| s.spec.name == name) else {
            return;
        };
        self.changed = true;
        let mut registry = (*self.view.registry).clone();
        let old = self.view.services[position].clone();
        self.view.services[position] =
            self.build_service(&old.spec, Some(&old), &mut registry, now, None);
        self.view.registry = Arc::new(registry);
    }

    /// Takes over the members.
    pub fn set_members(&mut self, members: Vec<Member>, now: Millis) {
        // A planned departure can orphan flows as well: the instance can't
        // advertise exceptions of moves made after it has gone.
        let present = |members: &[Member]| -> Set<InstanceName> {
            let present = members.iter().filter(|member| member.state != MemberState::Dead);
            present.map(|member| member.name.clone()).collect()
        };
        if !present(&self.view.members).is_subset(&present(&members)) {
            self.view.departed.push(Departure { noticed: now, assumed: false });
            self.view.departed.retain(|d| now.since(d.noticed) < MAX_SILENCE);
        }
        let me = &self.view.me;
        self.view.leaving = (members.iter())
            .any(|member| &member.name == me && member.state == MemberState::Leaving);
        let same = eligible(&self.view.members).eq(eligible(&members));
        self.view.members = members.into();
        self.changed = true;
        if same {
            // Most updates only say that a member has the next bundle. Choosing
            // the keepers of all services again for each of them would take far
            // too long.
            return;
        }
        for service in &mut self.view.services {
            let keepers = Keepers::choose(&service.spec.name, &self.view.members);
            if keepers != service.keepers {
                Arc::make_mut(service).keepers = keepers;
            }
        }
    }

    /// Merges the earlier owners that a peer knows. The union does not depend
    /// on the order of messages.
    pub fn merge_history(&mut self, history: &History, now: Millis) {
        let registry = self.view.registry.clone();
        let Some(service) =
            self.view.services.iter_mut().find(|service| service.spec.name == history.service)
        else {
            return;
        };
        for entry in &history.owners {
            let Some(target) = registry.find_by_name(&history.service, &entry.target) else {
                continue;
            };
            if is_new_owner(service, entry.bucket, target) {
                let service = Arc::make_mut(service);
                service.revision += 1;
                let state = &mut service.buckets[usize::from(entry.bucket.0)];
                let since = now.since(Millis(entry.age));
                state.add_earlier(EarlierOwner { target, since, owned: entry.owned });
                state.set_stamp(state.stamp().max(service.stamp));
                self.changed = true;
            }
        }
    }

    /// Carries out the moves that all live instances know or whose wait is
    /// over.
    pub fn advance(&mut self, now: Millis) {
        let known = self.common_version();
        let is_known = |version: Option<Version>| known.is_some() && version == known;
        self.publish_at = self.publish_at.filter(|at| now < *at);
        let due = |state: &BucketView| {
            state.pending().is_some_and(|pending| {
                is_known(pending.version) || now.since(pending.since) >= PENDING_LIMIT
            })
        };
        for service in &mut self.view.services {
            if service.revision == 0 || !service.buckets.iter().any(due) {
                continue;
            }
            self.changed = true;
            let service = Arc::make_mut(service);
            service.revision += 1;
            for state in service.buckets.iter_mut().filter(|state| due(state)) {
                carry_out(state, now);
            }
        }
    }

    /// Returns the next view if anything has changed since the last one.
    pub fn commit(&mut self) -> Option<Arc<View>> {
        if self.publish_at.is_some() || !std::mem::take(&mut self.changed) {
            return None;
        }
        self.view.epoch += 1;
        Some(Arc::new(self.view.clone()))
    }

    /// The bundle version of all live instances, if they agree. An instance
    /// that is ahead does not count as having an earlier bundle too: it may
    /// have skipped it, and then doesn't know which buckets that bundle moves.
    fn common_version(&self) -> Option<Version> {
        let version = self.view.bundle.version;
        let mut live = self.view.others().filter(|member| member.state != MemberState::Leaving);
        live.all(|member| member.version == version).then_some(version)
    }

    fn build_service(
        &self,
        spec: &Arc<Service>,
        old: Option<&Arc<ServiceView>>,
        registry: &mut Registry,
        now: Millis,
        cause: Option<Version>,
    ) -> Arc<ServiceView> {
        let ids: Vec<_> = spec.targets.iter().map(|target| registry.intern(spec, target)).collect();
        let wanted = self.wanted_owners(spec, &ids);
        let old = old.filter(|old| old.buckets.len() == wanted.len());
        let keepers = Keepers::choose(&spec.name, &self.view.members);
        let Some(old) = old else {
            let buckets = wanted.into_iter().map(BucketView::settled).collect();
            let (key, stamp) = (ServiceKey::of(&spec.name), self.stamp(&spec.name));
            return Arc::new(ServiceView {
                spec: spec.clone(),
                buckets,
                keepers,
                key,
                stamp,
                revision: 0,
            });
        };
        let stamp = self.stamp(&spec.name);
        let pairs = old.buckets.iter().zip(wanted);
        let buckets: Vec<_> =
            pairs.map(|(state, wanted)| retarget(state, wanted, now, cause, stamp)).collect();
        let moved = buckets != old.buckets;
        let stamp = if moved { stamp } else { old.stamp };
        let revision = old.revision + u64::from(moved);
        Arc::new(ServiceView { spec: spec.clone(), buckets, keepers, stamp, revision, ..**old })
    }

    fn stamp(&self, service: &ServiceName) -> Stamp {
        let sequence = self.plans.get(service).map_or(0, |plan| plan.sequence);
        Stamp::new(self.view.bundle.version, sequence)
    }

    /// The owners according to bundle and plan.
    fn wanted_owners(&self, spec: &Service, ids: &[TargetId]) -> Vec<Option<TargetId>> {
        let Some(assigned) = table::assign_buckets(spec) else {
            return vec![None; usize::from(spec.buckets)];
        };
        let mut wanted: Vec<_> =
            assigned.into_iter().map(|target| Some(ids[usize::from(target.0)])).collect();
        let moves = self.plans.get(&spec.name).map(|plan| plan.moves.as_slice());
        for (bucket, name) in moves.unwrap_or_default() {
            let (Some(slot), Some(place)) =
                (wanted.get_mut(usize::from(bucket.0)), active_position(spec, name))
            else {
                continue;
            };
            *slot = Some(ids[place]);
        }
        wanted
    }
}

/// The members to which duties are assigned, and their failure domains.
fn eligible(members: &[Member]) -> impl Iterator<Item = (&InstanceName, &DomainName)> {
    let stays = |member: &&Member| matches!(member.state, MemberState::Live | MemberState::Suspect);
    members.iter().filter(stays).map(|member| (&member.name, &member.domain))
}

/// The position of a target that takes new flows. A plan may be older than the
/// bundle and must not bring back a target that has left since.
fn active_position(spec: &Service, name: &TargetName) -> Option<usize> {
    spec.targets
        .iter()
        .position(|target| &target.name == name && target.state == TargetState::Active)
}

fn port_map(bundle: &Bundle) -> Ports {
    let mut map = Ports::default();
    for (position, service) in bundle.services.iter().enumerate() {
        for port in &service.ports {
            map.insert((service.address, port.number, port.protocol), (position, port.class));
        }
    }
    map
}

/// The next state of a bucket whose owner should be `wanted`.
fn retarget(
    state: &BucketView,
    wanted: Option<TargetId>,
    now: Millis,
    cause: Option<Version>,
    stamp: Stamp,
) -> BucketView {
    let mut next = state.clone();
    let ongoing = state.pending().filter(|pending| Some(pending.target) == wanted);
    next.set_pending(match wanted {
        Some(target) if state.owner != wanted => {
            Some(ongoing.unwrap_or(PendingMove { target, since: now, version: cause }))
        }
        // No target takes new flows: flows that exist stay where they are.
        _ => None,
    });
    if wanted.is_none() {
        carry_out_to(&mut next, None, now);
    }
    // An instance that was ahead may have carried out a move that was
    // cancelled, so its target may hold flows.
    if let Some(pending) = state.pending()
        && ongoing.is_none()
    {
        next.add_earlier(EarlierOwner { target: pending.target, since: now, owned: false });
    }
    if next != *state {
        next.set_stamp(stamp);
    }
    next
}

/// Carries out the pending move. The old owner is added before the move is
/// cleared, since a bucket without any moves in between would lose its stamp.
fn carry_out(state: &mut BucketView, now: Millis) {
    let Some(pending) = state.pending() else { return };
    carry_out_to(state, Some(pending.target), now);
    state.set_pending(None);
}

fn carry_out_to(state: &mut BucketView, owner: Option<TargetId>, now: Millis) {
    if let Some(old) = state.owner
        && Some(old) != owner
    {
        state.add_earlier(EarlierOwner { target: old, since: now, owned: true });
    }
    state.owner = owner;
}

fn is_new_owner(service: &ServiceView, bucket: Bucket, target: TargetId) -> bool {
    service
        .buckets
        .get(usize::from(bucket.0))
        .is_some_and(|state| !state.history().iter().any(|earlier| earlier.target == target))
}
