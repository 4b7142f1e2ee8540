//! The control thread: joins the members, the bundle and the plans with the
//! view that the packet thread follows.

use crate::{
    changes,
    checker::Checker,
    clock::Clock,
    meters::{ACCEPTED, INCOMPLETE},
    shared::{Command, Outgoing, Shared, Stage},
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
use medlarspur_platform::{Event as Platform, Listed, ListedState, Reader};
use medlarspur_target::{Event as Probed, Prober, Verdict, is_prober};
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

/// How long the thread sleeps at most between two looks at its inputs. News
/// crosses an instance in this time, and a few such hops must fit well into
/// the second in which a bundle comes into force.
const WAIT: Duration = Duration::from_millis(20);

/// How often plans are thought over. The verdicts change every two seconds at
/// most.
const PLAN_PERIOD: Millis = Millis(1_000);

/// How often history is asked of a peer at most.
const HISTORY_PAUSE: Millis = Millis(1_000);

/// What the control thread works with.
pub struct Control {
    /// The protocol between instances.
    pub settings: medlarspur_lib::control::ControlSettings,
    /// Checks bundles.
    pub checker: Checker,
    /// The connections to peers.
    pub peers: PeerHandle,
    /// The platform's reader, and what it brings.
    pub platform: (Reader, Receiver<Platform>),
    /// The probes of targets, and what they bring.
    pub probes: (Prober, Receiver<Probed>),
    /// To the packet thread.
    pub commands: Producer<Command>,
    /// From the packet thread.
    pub adverts: Consumer<Outgoing>,
    /// Set by a signal when the instance shall leave.
    pub leave: Arc<AtomicBool>,
    /// The clock of the process.
    pub clock: Clock,
    /// What the threads share.
    pub shared: Arc<Shared>,
}

/// Runs until told to stop.
pub fn run(parts: Control) {
    let Control { settings, checker, peers, platform, probes, commands, .. } = parts;
    let Control { adverts, leave, clock, shared, .. } = parts;
    let (reader, readings) = platform;
    let (prober, probed) = probes;
    let mut thread = Thread {
        me: settings.me.addresses.control,
        name: settings.me.name.clone(),
        domain: settings.me.domain.clone(),
        controller: Controller::new(settings, &checker),
        checker: &checker,
        draft: None,
        members: Vec::new(),
        peers,
        reader,
        prober,
        probed,
        adverts,
        commands,
        leave,
        left: false,
        ticked: None,
        asked: None,
        verdicts: Map::default(),
        planned: Millis(0),
        shared: &shared,
    };
    while !shared.stops() {
        let reading = thread.await_reading(&readings);
        thread.round(clock.now(), reading);
    }
}

struct Thread<'a> {
    me: SocketAddrV4,
    name: InstanceName,
    domain: DomainName,
    controller: Controller<&'a Checker>,
    checker: &'a Checker,
    draft: Option<Draft>,
    members: Vec<Member>,
    peers: PeerHandle,
    reader: Reader,
    prober: Prober,
    probed: Receiver<Probed>,
    adverts: Consumer<Outgoing>,
    commands: Producer<Command>,
    leave: Arc<AtomicBool>,
    left: bool,
    ticked: Option<Millis>,
    asked: Option<Millis>,
    verdicts: Map<TargetName, Verdict>,
    planned: Millis,
    shared: &'a Shared,
}

impl Thread<'_> {
    /// Waits for the platform; the other inputs are looked at after the wait.
    fn await_reading(&self, readings: &Receiver<Platform>) -> Option<Platform> {
        match readings.recv_timeout(WAIT) {
            Ok(reading) => Some(reading),
            Err(RecvTimeoutError::Timeout) => None,
            // The reader's threads end only with the process.
            Err(RecvTimeoutError::Disconnected) => {
                std::thread::sleep(WAIT);
                None
            }
        }
    }

    /// Takes in all that has come and does what follows from it.
    fn round(&mut self, now: Millis, reading: Option<Platform>) {
        if let Some(reading) = reading {
            self.read(now, reading);
        }
        while let Some(message) = self.peers.try_recv() {
            self.event(now, Event::Peer(message));
        }
        while let Ok(event) = self.probed.try_recv() {
            self.note_probe(event);
        }
        while let Ok(outgoing) = self.adverts.pop() {
            self.tell_keeper(outgoing);
        }
        self.keep_time(now);
        self.plan(now);
        self.publish(now);
        self.show();
    }

    fn keep_time(&mut self, now: Millis) {
        if self.ticked.is_none_or(|at| now.since(at) >= TICK) {
            self.ticked = Some(now);
            self.event(now, Event::Tick);
        }
        if !self.left && self.leave.load(Relaxed) {
            self.left = true;
            self.event(now, Event::SetLeaving);
        }
    }

    fn read(&mut self, now: Millis, news: Platform) {
        match news {
            Platform::Bundle(text) => self.event(now, Event::PlatformBundle(text)),
            Platform::Instances(list) => {
                let list = list.iter().map(candidate).collect();
                self.event(now, Event::PlatformList(list));
            }
        }
    }

    fn event(&mut self, now: Millis, event: Event) {
        for action in self.controller.handle(now, event) {
            self.act(now, action);
        }
    }

    fn act(&mut self, now: Millis, action: Action) {
        match action {
            Action::Send { to, message } => self.peers.send(to, message),
            Action::Accepted(text) => self.accept(now, &text),
            Action::Refused { reason } => {
                if !matches!(reason, spread::Refusal::Check { .. }) {
                    self.checker.count(INCOMPLETE);
                }
                log::warn!("bundle refused: {}", Report::from_error(reason));
            }
            Action::Members(members) => {
                if let Some(draft) = &mut self.draft {
                    draft.set_members(members.clone(), now);
                }
                changes::members(&self.members, &members);
                self.members = members;
            }
            Action::Plan(plan) => {
                self.show_plan(&plan);
                if let Some(draft) = &mut self.draft {
                    draft.apply_plan(plan, now);
                }
            }
            Action::ReadPlatform(reads) => self.reader.set_watching(reads),
            // The instance serves once it has published a view.
            Action::Ready => log::info!("ready=true"),
            Action::Slept { gap } => {
                log::warn!("slept_ms={gap}");
                self.command(Command::Distrust);
            }
            Action::Refreshed => log::info!("refreshed=true"),
            Action::ToForwarder(message) => self.pass(now, message),
            Action::HistoryDiffers(peer) => self.ask_history(now, peer),
        }
    }

    fn accept(&mut self, now: Millis, text: &SignedText) {
        let Some(signed) = self.checker.take(text) else { return };
        self.checker.count(ACCEPTED);
        let bundle = signed.bundle.clone();
        self.shared.signed.store(Some(Arc::new(signed)));
        self.shared.accepted.store(now.0, Relaxed);
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

    fn pass(&mut self, now: Millis, message: Message) {
        match message {
            Message::Advert(advert) => self.command(Command::Advert(advert)),
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

    /// Asks a peer that knows of other earlier owners. Without that, an
    /// instance that missed a move would send unknown flows of the bucket to
    /// its present owner, unasked.
    fn ask_history(&mut self, now: Millis, peer: SocketAddrV4) {
        if self.draft.is_none() || self.asked.is_some_and(|at| now.since(at) < HISTORY_PAUSE) {
            return;
        }
        self.asked = Some(now);
        let request = HistoryRequest { sender: self.me };
        self.peers.send(peer, Message::HistoryRequest(request));
    }

    fn tell_keeper(&mut self, outgoing: Outgoing) {
        let keeper = self.members.iter().find(|member| member.name == outgoing.keeper);
        if let Some(keeper) = keeper {
            self.peers.send(keeper.addresses.control, Message::Advert(outgoing.advert));
        }
    }

    fn command(&mut self, command: Command) {
        if self.commands.push(command).is_err() {
            self.shared.overrun();
        }
    }

    fn note_probe(&mut self, event: Probed) {
        self.verdicts.insert(event.target.clone(), event.verdict);
        self.command(Command::Probed(event));
    }

    /// Plans for the services for which this instance ranks first.
    fn plan(&mut self, now: Millis) {
        if now.since(self.planned) < PLAN_PERIOD {
            return;
        }
        self.planned = now;
        let Some(draft) = &self.draft else { return };
        let specs: Vec<_> = draft.view().services.iter().map(|s| s.spec.clone()).collect();
        let mut probed = Vec::new();
        for spec in specs {
            let authors = plan::is_author(&self.name, &spec.name, self.members.iter());
            for target in &spec.targets {
                if let Some(address) = target.probe
                    && (authors || self.probes(&target.name))
                {
                    probed.push((target.name.clone(), address));
                }
            }
            if authors {
                self.plan_service(now, &spec);
            }
        }
        self.prober.set_targets(probed);
    }

    fn probes(&self, target: &TargetName) -> bool {
        let domain = self.members.iter().filter(|m| m.domain == self.domain && m.is_eligible());
        is_prober(&self.name, domain.map(|member| &member.name), target)
    }

    fn plan_service(&mut self, now: Millis, spec: &Service) {
        // An author that has just started knows no verdicts, and would undo
        // what the one before it planned.
        let judged = spec.targets.iter().filter(|target| target.probe.is_some());
        if judged.clone().any(|target| !self.verdicts.contains_key(&target.name)) {
            return;
        }
        let is_bad = |name: &TargetName| {
            self.verdicts.get(name).is_some_and(|verdict| *verdict != Verdict::Healthy)
        };
        let bad = judged.map(|target| target.name.clone()).filter(is_bad).collect();
        let Some(moves) = planner::avoid_targets(spec, &bad) else { return };
        let present = self.controller.plans().get(&spec.name);
        if present.map_or(moves.is_empty(), |plan| plan.moves == moves) {
            return;
        }
        self.event(now, Event::Propose { service: spec.name.clone(), moves });
    }

    /// Lets operators see what the protocol knows.
    fn show(&self) {
        let conflict = self.controller.spread().conflict;
        let version = self.controller.current().map(|text| text.version);
        let conflict = conflict.filter(|conflict| Some(*conflict) == version);
        let known = self.shared.conflict.swap(conflict.is_some(), Relaxed);
        if let Some(version) = conflict.filter(|_| !known) {
            changes::conflict(version);
        }
        let incarnation = self.controller.roster().me().incarnation;
        self.shared.incarnation.store(incarnation.0, Relaxed);
        self.shared.platform.store(Arc::new(self.reader.counts()));
        self.shared.peers.store(Arc::new(self.peers.counters()));
        self.shared.probes.store(Arc::new(self.prober.counts()));
    }

    fn show_plan(&self, plan: &ServicePlan) {
        changes::plan(plan);
        let mut plans = Map::clone(&self.shared.plans.load());
        plans.insert(plan.service.clone(), Arc::new(plan.clone()));
        self.shared.plans.store(Arc::new(plans));
    }

    fn publish(&mut self, now: Millis) {
        let Some(draft) = &mut self.draft else { return };
        if !self.controller.is_ready() {
            return;
        }
        draft.advance(now);
        let Some(view) = draft.commit() else { return };
        let history = view.history_digest();
        self.shared.view.store(Some(view));
        if self.shared.stage() == Stage::Starting {
            self.shared.enter(Stage::Serving);
        }
        self.event(now, Event::SetProgress { advertised: 0, history });
    }
}

fn candidate(listed: &Listed) -> Candidate {
    Candidate {
        name: listed.name.clone(),
        domain: listed.domain.clone(),
        control: listed.addresses.control,
        leaving: listed.state == ListedState::Leaving,
    }
}
