//! The control thread: builds the view that the packet thread follows from the
//! members, the bundle and the plans.

use crate::{
    changes,
    checker::Checker,
    clock::Clock,
    meters::{ACCEPTED, INCOMPLETE},
    shared::{Command, KeeperAdvert, Shared, Stage},
};
use medlarspur_lib::{
    bundle::Service,
    collections::Map,
    control::{Action, Controller, Event, TICK},
    ids::{DomainName, InstanceName, TargetName},
    members::{Candidate, Member},
    message::{HistoryRequest, Message, ServicePlan},
    plan, planner,
    spread::{self, SignedText},
    time::Millis,
    view::Draft,
};
use medlarspur_peer::PeerHandle;
use medlarspur_platform::{Event as PlatformEvent, ListedInstance, ListedState, Reader};
use medlarspur_target::{Event as ProbeEvent, HealthVerdict, Prober, is_prober};
use rtrb::{Consumer, Producer};
use snafu::Report;
use std::{
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::Relaxed},
        mpsc::{Receiver, RecvTimeoutError},
    },
    time::Duration,
};

/// Maximum time between two checks of the thread's inputs. It is also the time that a
/// message takes to pass through an instance; several such hops must fit well into the
/// second within which a bundle comes into force.
const MAX_WAIT: Duration = Duration::from_millis(20);

/// Interval at which plans are revised. Probe verdicts change every two seconds at
/// most.
const PLAN_INTERVAL: Millis = Millis(1_000);

/// Minimum time between two requests for a peer's history.
const HISTORY_INTERVAL: Millis = Millis(1_000);

/// The inputs and outputs of the control thread.
pub struct ControlParts {
    /// Settings of the protocol between instances.
    pub settings: medlarspur_lib::control::ControlSettings,
    /// Verifies bundles.
    pub checker: Checker,
    /// The connections to peers.
    pub peers: PeerHandle,
    /// The platform's reader and its events.
    pub platform: (Reader, Receiver<PlatformEvent>),
    /// The prober of targets and its results.
    pub probes: (Prober, Receiver<ProbeEvent>),
    /// Commands for the packet thread.
    pub commands: Producer<Command>,
    /// Adverts from the packet thread.
    pub adverts: Consumer<KeeperAdvert>,
    /// Set by a signal that requests shutdown.
    pub shutdown: Arc<AtomicBool>,
    /// The clock of the process.
    pub clock: Clock,
    /// State that the threads share.
    pub shared: Arc<Shared>,
}

/// Runs the control thread until the instance stops.
pub fn run(parts: ControlParts) {
    let ControlParts { settings, checker, peers, platform, probes, commands, .. } = parts;
    let ControlParts { adverts, shutdown, clock, shared, .. } = parts;
    let (reader, platform_events) = platform;
    let (prober, probe_events) = probes;
    let mut thread = ControlThread {
        address: settings.me.addresses.control,
        name: settings.me.name.clone(),
        domain: settings.me.domain.clone(),
        controller: Controller::new(settings, &checker),
        checker: &checker,
        draft: None,
        members: Vec::new(),
        peers,
        reader,
        prober,
        probe_events,
        adverts,
        commands,
        shutdown,
        has_left: false,
        last_tick: None,
        last_history_request: None,
        verdicts: Map::default(),
        last_plan: Millis(0),
        shared: &shared,
    };
    while !shared.should_stop() {
        let event = thread.await_platform_event(&platform_events);
        thread.round(clock.now(), event);
    }
}

struct ControlThread<'a> {
    address: SocketAddrV4,
    name: InstanceName,
    domain: DomainName,
    controller: Controller<&'a Checker>,
    checker: &'a Checker,
    draft: Option<Draft>,
    members: Vec<Member>,
    peers: PeerHandle,
    reader: Reader,
    prober: Prober,
    probe_events: Receiver<ProbeEvent>,
    adverts: Consumer<KeeperAdvert>,
    commands: Producer<Command>,
    shutdown: Arc<AtomicBool>,
    has_left: bool,
    last_tick: Option<Millis>,
    last_history_request: Option<Millis>,
    verdicts: Map<TargetName, HealthVerdict>,
    last_plan: Millis,
    shared: &'a Shared,
}

impl ControlThread<'_> {
    /// Waits for a platform event for [`MAX_WAIT`] at most; the other inputs are polled
    /// after the wait.
    fn await_platform_event(
        &self,
        platform_events: &Receiver<PlatformEvent>,
    ) -> Option<PlatformEvent> {
        match platform_events.recv_timeout(MAX_WAIT) {
            Ok(event) => Some(event),
            Err(RecvTimeoutError::Timeout) => None,
            // The reader's threads end only with the process; the sleep avoids a busy
            // loop until then.
            Err(RecvTimeoutError::Disconnected) => {
                std::thread::sleep(MAX_WAIT);
                None
            }
        }
    }

    /// Processes all pending input, then does the periodic work.
    fn round(&mut self, now: Millis, event: Option<PlatformEvent>) {
        if let Some(event) = event {
            self.handle_platform_event(now, event);
        }
        while let Some(message) = self.peers.try_recv() {
            self.handle_event(now, Event::Peer(message));
        }
        while let Ok(event) = self.probe_events.try_recv() {
            self.record_probe(event);
        }
        while let Ok(outgoing) = self.adverts.pop() {
            self.send_advert(outgoing);
        }
        self.tick(now);
        self.plan_services(now);
        self.publish_view(now);
        self.publish_status();
    }

    fn tick(&mut self, now: Millis) {
        if self.last_tick.is_none_or(|at| now.since(at) >= TICK) {
            self.last_tick = Some(now);
            self.handle_event(now, Event::Tick);
        }
        if !self.has_left && self.shutdown.load(Relaxed) {
            self.has_left = true;
            self.handle_event(now, Event::SetLeaving);
        }
    }

    fn handle_platform_event(&mut self, now: Millis, event: PlatformEvent) {
        match event {
            PlatformEvent::Bundle(text) => self.handle_event(now, Event::PlatformBundle(text)),
            PlatformEvent::Instances(list) => {
                let list = list.iter().map(candidate).collect();
                self.handle_event(now, Event::PlatformList(list));
            }
        }
    }

    fn handle_event(&mut self, now: Millis, event: Event) {
        for action in self.controller.handle(now, event) {
            self.apply(now, action);
        }
    }

    fn apply(&mut self, now: Millis, action: Action) {
        match action {
            Action::Send { to, message } => self.peers.send(to, message),
            Action::Accepted(text) => self.accept_bundle(now, &text),
            Action::Refused { reason } => {
                if !matches!(reason, spread::TextError::Check { .. }) {
                    self.checker.count_outcome(INCOMPLETE);
                }
                log::warn!("bundle refused: {}", Report::from_error(reason));
            }
            Action::Members(members) => {
                if let Some(draft) = &mut self.draft {
                    draft.set_members(members.clone(), now);
                }
                changes::log_members(&self.members, &members);
                self.members = members;
            }
            Action::Plan(plan) => {
                self.publish_plan(&plan);
                if let Some(draft) = &mut self.draft {
                    draft.apply_plan(plan, now);
                }
            }
            Action::ReadPlatform(reads) => self.reader.set_watching(reads),
            // The instance enters the serving stage when it has published a view.
            Action::Ready => log::info!("ready=true"),
            Action::Slept { gap } => {
                log::warn!("slept_ms={gap}");
                self.send_command(Command::Slept);
            }
            Action::Refreshed => log::info!("refreshed=true"),
            Action::ToForwarder(message) => self.handle_message(now, message),
            Action::HistoryDiffers(peer) => self.request_history(now, peer),
        }
    }

    fn accept_bundle(&mut self, now: Millis, text: &SignedText) {
        let Some(signed) = self.checker.take_checked(text) else { return };
        self.checker.count_outcome(ACCEPTED);
        let bundle = signed.bundle.clone();
        self.shared.signed_bundle.store(Some(Arc::new(signed)));
        self.shared.accepted_at.store(now.0, Relaxed);
        log::info!("bundle={} digest={}", text.version, hex::encode(&text.digest[..4]));
        match &mut self.draft {
            Some(draft) => draft.install(&bundle, now),
            None => {
                let mut draft = Draft::first(self.name.clone(), &bundle, now);
                draft.set_members(self.members.clone(), now);
                for plan in self.controller.plans().iter() {
                    draft.apply_plan(plan.clone(), now);
                }
                self.draft = Some(draft);
            }
        }
    }

    fn handle_message(&mut self, now: Millis, message: Message) {
        match message {
            Message::Advert(advert) => self.send_command(Command::Advert(advert)),
            Message::HistoryRequest(request) => {
                let Some(draft) = &self.draft else { return };
                for history in draft.view().histories(now) {
                    self.peers.send(request.sender, Message::History(history));
                }
            }
            Message::History(history) => {
                if let Some(draft) = &mut self.draft {
                    draft.merge_history(&history, now);
                }
            }
            _ => {}
        }
    }

    /// Requests the history from a peer whose record of earlier owners differs. Otherwise
    /// an instance that missed a move would send the bucket's unknown flows to the current
    /// owner without asking its peers.
    fn request_history(&mut self, now: Millis, peer: SocketAddrV4) {
        if self.draft.is_none()
            || self.last_history_request.is_some_and(|at| now.since(at) < HISTORY_INTERVAL)
        {
            return;
        }
        self.last_history_request = Some(now);
        let request = HistoryRequest { sender: self.address };
        self.peers.send(peer, Message::HistoryRequest(request));
    }

    fn send_advert(&mut self, outgoing: KeeperAdvert) {
        let keeper = self.members.iter().find(|member| member.name == outgoing.keeper);
        if let Some(keeper) = keeper {
            self.peers.send(keeper.addresses.control, Message::Advert(outgoing.advert));
        }
    }

    fn send_command(&mut self, command: Command) {
        if self.commands.push(command).is_err() {
            self.shared.count_overrun();
        }
    }

    fn record_probe(&mut self, event: ProbeEvent) {
        self.verdicts.insert(event.target.clone(), event.verdict);
        self.send_command(Command::Probed(event));
    }

    /// Revises the plans of the services that this instance is the author for, and sets
    /// the targets to probe.
    fn plan_services(&mut self, now: Millis) {
        if now.since(self.last_plan) < PLAN_INTERVAL {
            return;
        }
        self.last_plan = now;
        let Some(draft) = &self.draft else { return };
        let specs: Vec<_> = draft.view().services.iter().map(|s| s.spec.clone()).collect();
        let mut targets = Vec::new();
        for spec in specs {
            let is_author = plan::is_author(&self.name, &spec.name, self.members.iter());
            for target in &spec.targets {
                if let Some(address) = target.probe
                    && (is_author || self.is_probing(&target.name))
                {
                    targets.push((target.name.clone(), address));
                }
            }
            if is_author {
                self.plan_service(now, &spec);
            }
        }
        self.prober.set_targets(targets);
    }

    fn is_probing(&self, target: &TargetName) -> bool {
        let peers = self.members.iter().filter(|m| m.domain == self.domain && m.is_eligible());
        is_prober(&self.name, peers.map(|member| &member.name), target)
    }

    fn plan_service(&mut self, now: Millis, spec: &Service) {
        // An author that has just started has no verdicts yet and would undo the
        // plans of its predecessor.
        let probed = spec.targets.iter().filter(|target| target.probe.is_some());
        if probed.clone().any(|target| !self.verdicts.contains_key(&target.name)) {
            return;
        }
        let is_unhealthy = |name: &TargetName| {
            self.verdicts.get(name).is_some_and(|verdict| *verdict != HealthVerdict::Healthy)
        };
        let unhealthy = probed.map(|target| target.name.clone()).filter(is_unhealthy).collect();
        let Some(moves) = planner::avoid_targets(spec, &unhealthy) else { return };
        let current = self.controller.plans().get(&spec.name);
        if current.map_or(moves.is_empty(), |plan| plan.moves == moves) {
            return;
        }
        self.handle_event(now, Event::Propose { service: spec.name.clone(), moves });
    }

    /// Publishes the protocol's state and counters for operators.
    fn publish_status(&self) {
        let conflict = self.controller.spread().conflict;
        let version = self.controller.current().map(|text| text.version);
        let conflict = conflict.filter(|conflict| Some(*conflict) == version);
        let known = self.shared.conflict.swap(conflict.is_some(), Relaxed);
        if let Some(version) = conflict.filter(|_| !known) {
            changes::log_conflict(version);
        }
        let incarnation = self.controller.roster().me().incarnation;
        self.shared.incarnation.store(incarnation.0, Relaxed);
        self.shared.platform.store(Arc::new(self.reader.counts()));
        self.shared.peers.store(Arc::new(self.peers.counters()));
        self.shared.probes.store(Arc::new(self.prober.counts()));
    }

    fn publish_plan(&self, plan: &ServicePlan) {
        changes::log_plan(plan);
        let mut plans = Map::clone(&self.shared.plans.load());
        plans.insert(plan.service.clone(), Arc::new(plan.clone()));
        self.shared.plans.store(Arc::new(plans));
    }

    fn publish_view(&mut self, now: Millis) {
        let Some(draft) = &mut self.draft else { return };
        if !self.controller.is_ready() {
            return;
        }
        draft.advance(now);
        let Some(view) = draft.commit() else { return };
        let history = view.history_digest();
        self.shared.view.store(Some(view));
        if self.shared.stage() == Stage::Starting {
            self.shared.set_stage(Stage::Serving);
        }
        self.handle_event(now, Event::SetProgress { advertised: 0, history });
    }
}

fn candidate(listed: &ListedInstance) -> Candidate {
    Candidate {
        name: listed.name.clone(),
        domain: listed.domain.clone(),
        control: listed.addresses.control,
        leaving: listed.state == ListedState::Leaving,
    }
}
