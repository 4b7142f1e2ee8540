//! One instance's part in the fleet: members, bundle and plans joined into
//! one state machine without I/O.
//!
//! The control thread feeds it events and carries out its actions. Messages
//! may be lost, doubled and overtaken: everything is said again by the
//! heartbeats, so no action has to succeed. See `docs/design/members.md`,
//! `docs/design/bundle-spread.md` and `docs/design/plan.md`.

mod beat;
mod compare;
mod event;
mod start;

pub use self::{
    beat::HEARTBEAT_INTERVAL,
    event::{Action, Event},
    start::{READY_TIMEOUT, START_WAIT},
};

use self::{beat::Beat, compare::Compare, start::Start};
use crate::{
    ids::{InstanceName, ServiceName},
    members::{Candidate, Member, Roster},
    message::{Message, ServicePlan},
    plan::{self, Moves, Plans},
    spread::{Check, Refusal, SignedText, Spread, is_reader},
    time::Millis,
};
use std::{net::SocketAddrV4, sync::Arc};

/// How often [`Event::Tick`] is expected.
pub const TICK: Millis = Millis(100);
/// A gap between ticks that means that the process slept. A busy machine
/// delays a tick by less; a longer gap makes others suspect this instance.
pub const SLEEP_GAP: Millis = Millis(2_000);
/// How long an instance that slept distrusts its view, unless it hears from
/// most of its neighbours before.
pub const STALE_TIME: Millis = Millis(5_000);

/// What a controller has to know from the settings.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// This instance, with an incarnation later than any before: the wall
    /// clock at the start will do, since a wrong one is corrected by refuting.
    pub me: Member,
    /// Control addresses to ask when nobody else is known.
    pub seeds: Vec<SocketAddrV4>,
}

/// The state machine of one instance.
#[derive(Debug)]
pub struct Controller<C> {
    roster: Roster,
    spread: Spread<C>,
    plans: Plans,
    beat: Beat,
    start: Start,
    seeds: Vec<SocketAddrV4>,
    candidates: Vec<Candidate>,
    history: u64,
    /// Whether this instance is among the readers of the platform.
    reader: bool,
    /// What it was told last to do about that.
    reading: bool,
    ticked: Option<Millis>,
    /// Until when the own view is distrusted after a sleep.
    distrust: Option<Millis>,
    /// Neighbours heard since the sleep.
    heard: Vec<InstanceName>,
    compare: Compare,
    actions: Vec<Action>,
}

impl<C: Check> Controller<C> {
    /// Starts with nobody known and no bundle.
    pub fn new(settings: ControlSettings, checker: C) -> Controller<C> {
        Controller {
            beat: Beat::new(&settings.me.name),
            roster: Roster::new(settings.me),
            spread: Spread::new(checker),
            plans: Plans::new(),
            start: Start::new(),
            seeds: settings.seeds,
            candidates: Vec::new(),
            history: 0,
            reader: false,
            reading: false,
            ticked: None,
            distrust: None,
            heard: Vec::new(),
            compare: Compare::default(),
            actions: Vec::new(),
        }
    }

    /// Takes one event in and says what to do.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::PlatformBundle(text) => self.platform_bundle(&text),
            Event::PlatformList(list) => self.candidates = list,
            Event::Peer(message) => self.peer(now, message),
            Event::SetLeaving => self.leave(),
            Event::SetProgress { advertised, history } => self.set_progress(advertised, history),
            Event::Propose { service, moves } => self.propose(&service, moves),
        }
        std::mem::take(&mut self.actions)
    }

    /// The bundle in force.
    pub fn current(&self) -> Option<&Arc<SignedText>> {
        self.spread.current()
    }

    /// The bundle and its exchange, for counters and status.
    pub fn spread(&self) -> &Spread<C> {
        &self.spread
    }

    /// The members, for counters and status.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// The plans that this instance follows.
    pub fn plans(&self) -> &Plans {
        &self.plans
    }

    /// Whether the view of the others may be old, because this process slept.
    pub fn may_be_stale(&self) -> bool {
        self.distrust.is_some()
    }

    /// Whether this instance is ready to serve.
    pub fn is_ready(&self) -> bool {
        self.start.is_ready()
    }

    fn tick(&mut self, now: Millis) {
        self.watch_clock(now);
        self.roster.expire(now);
        self.publish_members();
        self.beat(now);
        self.fetch(now);
        self.choose_readers();
        self.check_ready(now);
    }

    /// A process that slept sees all others silent and would suspect them,
    /// and would plan and hand out duties by an old picture. It notices by
    /// its own clock, starts all waiting anew and holds back until refreshed.
    fn watch_clock(&mut self, now: Millis) {
        let gap = self.ticked.map_or(Millis(0), |t| now.since(t));
        self.ticked = Some(now);
        if gap >= SLEEP_GAP {
            self.roster.restart_timeouts(now);
            self.beat.wake();
            self.heard.clear();
            self.distrust = Some(now + STALE_TIME);
            self.actions.push(Action::Slept { gap });
        }
        let refreshed = 2 * self.heard.len() > self.roster.neighbours().len();
        if self.distrust.is_some_and(|until| refreshed || now >= until) {
            self.distrust = None;
            self.actions.push(Action::Refreshed);
        }
    }

    fn publish_members(&mut self) {
        let changed = self.roster.refresh_neighbours();
        if changed {
            self.reader = is_reader(self.roster.me(), self.roster.members());
        }
        if self.roster.take_progress() || changed {
            self.actions.push(Action::Members(self.roster.members().cloned().collect()));
        }
    }

    /// An instance that starts reads too, so that it may learn the highest
    /// bundle from both sides.
    fn choose_readers(&mut self) {
        let reading = !self.start.is_ready() || self.reader;
        if reading != self.reading {
            self.reading = reading;
            self.actions.push(Action::ReadPlatform(reading));
        }
    }

    fn check_ready(&mut self, now: Millis) {
        let alone = self.seeds.is_empty() && self.candidates.is_empty();
        let behind = self.beat.claims().any(|order| self.spread.wants(order));
        if self.start.check(now, self.spread.current().is_some(), alone, behind) {
            self.beat.forget_claims();
            self.actions.push(Action::Ready);
        }
    }

    fn bundle(&mut self, now: Millis, message: &Message) {
        let me = self.addr();
        match message {
            Message::BundleRequest(request) => {
                let answer = self.spread.answer_request(request, me);
                self.reply(request.sender, answer);
            }
            Message::PieceRequest(request) => {
                let answer = self.spread.answer_pieces(now, request, me);
                self.reply(request.sender, answer);
            }
            Message::BundleDelta(delta) => {
                let offered = self.spread.apply_delta(delta);
                self.take_offer(offered);
            }
            Message::Pieces(pieces) => {
                let offered = self.spread.apply_pieces(now, pieces);
                self.take_offer(offered);
                self.fetch(now);
            }
            Message::BundleOutline(outline) => {
                let offered = self.spread.apply_outline(now, outline);
                self.take_offer(offered);
                self.fetch(now);
            }
            _ => {}
        }
    }

    fn fetch(&mut self, now: Millis) {
        let me = self.addr();
        for (to, request) in self.spread.piece_requests(now, me) {
            self.send(to, request);
        }
    }

    fn reply(&mut self, to: SocketAddrV4, answer: Option<Message>) {
        if let Some(answer) = answer {
            self.send(to, answer);
        }
    }

    fn addr(&self) -> SocketAddrV4 {
        self.roster.me().addresses.control
    }

    fn platform_bundle(&mut self, text: &str) {
        self.start.platform();
        let offered = self.spread.offer(text);
        self.take_offer(offered);
    }

    fn take_offer(&mut self, offered: Result<Option<Arc<SignedText>>, Refusal>) {
        match offered {
            Ok(None) | Err(Refusal::Repeated) => {}
            Ok(Some(signed)) => {
                self.roster.set_own_progress(signed.version, self.roster.me().advertised);
                self.actions.push(Action::Accepted(signed));
                self.tell_neighbours();
            }
            Err(reason) => self.actions.push(Action::Refused { reason }),
        }
    }

    fn peer(&mut self, now: Millis, message: Message) {
        match message {
            Message::Heartbeat(beat) => self.heartbeat(now, &beat),
            Message::BundleRequest(_)
            | Message::BundleDelta(_)
            | Message::BundleOutline(_)
            | Message::PieceRequest(_)
            | Message::Pieces(_) => self.bundle(now, &message),
            Message::MembersRequest(request) => self.answer_members(&request),
            Message::MembersAnswer(answer) => {
                for member in &answer.members {
                    self.roster.merge(now, member);
                }
            }
            Message::PlanRequest(request) => self.answer_plans(&request),
            Message::Plan(plan) => self.follow(plan),
            Message::Leave(leave) => self.hear_leave(now, &leave),
            Message::Advert(_) | Message::HistoryRequest(_) | Message::History(_) => {
                self.actions.push(Action::ToForwarder(message));
            }
        }
    }

    fn follow(&mut self, plan: ServicePlan) {
        if self.plans.merge(plan.clone()) {
            self.spread_plan(&plan);
            self.actions.push(Action::Plan(plan));
        }
    }

    fn spread_plan(&mut self, plan: &ServicePlan) {
        for to in self.neighbour_addrs() {
            self.send(to, Message::Plan(plan.clone()));
        }
    }

    /// Makes a plan, if this instance is the one that plans for the service.
    /// One that slept may only believe so and waits until it is refreshed.
    fn propose(&mut self, service: &ServiceName, moves: Moves) {
        let me = &self.roster.me().name;
        if self.may_be_stale() || !plan::is_author(me, service, self.roster.members()) {
            return;
        }
        let next = self.plans.next(me, service, moves);
        self.follow(next);
    }

    fn set_progress(&mut self, advertised: u64, history: u64) {
        self.history = history;
        self.roster.set_own_progress(self.roster.me().version, advertised);
    }

    fn send(&mut self, to: SocketAddrV4, message: Message) {
        if to != self.addr() {
            self.actions.push(Action::Send { to, message });
        }
    }

    fn neighbour_addrs(&self) -> Vec<SocketAddrV4> {
        let names = self.roster.neighbours().iter();
        names.filter_map(|name| self.roster.get(name)).map(|m| m.addresses.control).collect()
    }
}
