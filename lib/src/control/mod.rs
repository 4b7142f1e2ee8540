//! The control state machine of one instance. It joins members, bundle and
//! plans, without I/O.
//!
//! The control thread feeds it events and carries out its actions. Messages may
//! be lost, duplicated and reordered. Heartbeats repeat all state, so no action
//! has to succeed. See `docs/design/members.md`, `docs/design/bundle-spread.md`
//! and `docs/design/plan.md`.

mod beat;
mod compare;
mod event;
mod start;

pub use self::{
    beat::HEARTBEAT_INTERVAL,
    event::{Action, Event},
    start::{READY_TIMEOUT, START_WAIT},
};

use self::{beat::Heartbeats, compare::AntiEntropy, start::Startup};
use crate::{
    ids::{InstanceName, ServiceName},
    members::{Candidate, Member, Roster},
    message::{Message, ServicePlan},
    plan::{self, Moves, Plans},
    spread::{Check, SignedText, Spread, TextError, is_reader},
    time::Millis,
};
use std::{net::SocketAddrV4, sync::Arc};

/// Interval at which [`Event::Tick`] is expected.
pub const TICK: Millis = Millis(100);
/// Gap between two ticks from which on the process counts as having slept. Load
/// on the machine delays a tick by less; after a longer gap other instances
/// suspect this one.
pub const SLEEP_GAP: Millis = Millis(2_000);
/// Time after a sleep for which the view counts as stale, unless most
/// neighbours have sent a heartbeat before.
pub const STALE_TIME: Millis = Millis(5_000);

/// The settings of a controller.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// This instance. Its incarnation has to be higher than any before. The
    /// wall clock at the start will do, since a wrong one is corrected by
    /// refutation.
    pub me: Member,
    /// Control addresses to probe while no other instance is known.
    pub seeds: Vec<SocketAddrV4>,
}

/// The control state machine of one instance.
#[derive(Debug)]
pub struct Controller<C> {
    roster: Roster,
    spread: Spread<C>,
    plans: Plans,
    heartbeats: Heartbeats,
    start: Startup,
    seeds: Vec<SocketAddrV4>,
    candidates: Vec<Candidate>,
    history: u64,
    /// Whether this instance is among the readers of the platform.
    reader: bool,
    /// The value of the last [`Action::ReadPlatform`].
    reading: bool,
    last_tick: Option<Millis>,
    /// End of the time after a sleep for which the view counts as stale.
    stale_until: Option<Millis>,
    /// Neighbours that have sent a heartbeat since the sleep.
    contacted: Vec<InstanceName>,
    anti_entropy: AntiEntropy,
    actions: Vec<Action>,
}

impl<C: Check> Controller<C> {
    /// Creates a controller that knows no other instance and has no bundle.
    pub fn new(settings: ControlSettings, checker: C) -> Controller<C> {
        Controller {
            heartbeats: Heartbeats::new(&settings.me.name),
            roster: Roster::new(settings.me),
            spread: Spread::new(checker),
            plans: Plans::new(),
            start: Startup::new(),
            seeds: settings.seeds,
            candidates: Vec::new(),
            history: 0,
            reader: false,
            reading: false,
            last_tick: None,
            stale_until: None,
            contacted: Vec::new(),
            anti_entropy: AntiEntropy::default(),
            actions: Vec::new(),
        }
    }

    /// Handles an event. Returns the actions to carry out.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::PlatformBundle(text) => self.platform_bundle(&text),
            Event::PlatformList(list) => self.candidates = list,
            Event::Peer(message) => self.handle_message(now, message),
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

    /// The exchange of the bundle, for counters and status.
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

    /// Whether this process slept and its view of the others may be stale.
    pub fn may_be_stale(&self) -> bool {
        self.stale_until.is_some()
    }

    /// Whether this instance is ready to serve.
    pub fn is_ready(&self) -> bool {
        self.start.is_ready()
    }

    fn tick(&mut self, now: Millis) {
        self.detect_sleep(now);
        self.roster.expire(now);
        self.publish_members();
        self.send_heartbeats(now);
        self.request_pieces(now);
        self.choose_readers();
        self.check_ready(now);
    }

    /// Detects a sleep of this process from the gap between ticks. All others
    /// have been silent for a process that slept. Without detection it would
    /// suspect them, and would plan and assign duties by a stale view. It
    /// restarts all timeouts and takes no new duty until it is refreshed.
    fn detect_sleep(&mut self, now: Millis) {
        let gap = self.last_tick.map_or(Millis(0), |t| now.since(t));
        self.last_tick = Some(now);
        if gap >= SLEEP_GAP {
            self.roster.restart_timeouts(now);
            self.heartbeats.wake();
            self.contacted.clear();
            self.stale_until = Some(now + STALE_TIME);
            self.actions.push(Action::Slept { gap });
        }
        let refreshed = 2 * self.contacted.len() > self.roster.neighbours().len();
        if self.stale_until.is_some_and(|until| refreshed || now >= until) {
            self.stale_until = None;
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

    /// A starting instance reads the platform as well, so that it learns the
    /// highest bundle from both platform and peers.
    fn choose_readers(&mut self) {
        let reading = !self.start.is_ready() || self.reader;
        if reading != self.reading {
            self.reading = reading;
            self.actions.push(Action::ReadPlatform(reading));
        }
    }

    fn check_ready(&mut self, now: Millis) {
        let alone = self.seeds.is_empty() && self.candidates.is_empty();
        let behind = self.heartbeats.claims().any(|order| self.spread.wants(order));
        if self.start.check(now, self.spread.current().is_some(), alone, behind) {
            self.heartbeats.forget_claims();
            self.actions.push(Action::Ready);
        }
    }

    fn handle_bundle_message(&mut self, now: Millis, message: &Message) {
        let me = self.address();
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
                self.handle_offer(offered);
            }
            Message::Pieces(pieces) => {
                let offered = self.spread.apply_pieces(now, pieces);
                self.handle_offer(offered);
                self.request_pieces(now);
            }
            Message::BundleOutline(outline) => {
                let offered = self.spread.apply_outline(now, outline);
                self.handle_offer(offered);
                self.request_pieces(now);
            }
            _ => {}
        }
    }

    fn request_pieces(&mut self, now: Millis) {
        let me = self.address();
        for (to, request) in self.spread.piece_requests(now, me) {
            self.send(to, request);
        }
    }

    fn reply(&mut self, to: SocketAddrV4, answer: Option<Message>) {
        if let Some(answer) = answer {
            self.send(to, answer);
        }
    }

    fn address(&self) -> SocketAddrV4 {
        self.roster.me().addresses.control
    }

    fn platform_bundle(&mut self, text: &str) {
        self.start.record_platform();
        let offered = self.spread.offer(text);
        self.handle_offer(offered);
    }

    fn handle_offer(&mut self, offered: Result<Option<Arc<SignedText>>, TextError>) {
        match offered {
            Ok(None) | Err(TextError::Repeated) => {}
            Ok(Some(signed)) => {
                self.roster.set_own_progress(signed.version, self.roster.me().advertised);
                self.actions.push(Action::Accepted(signed));
                self.notify_neighbours();
            }
            Err(reason) => self.actions.push(Action::Refused { reason }),
        }
    }

    fn handle_message(&mut self, now: Millis, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(now, &heartbeat),
            Message::BundleRequest(_)
            | Message::BundleDelta(_)
            | Message::BundleOutline(_)
            | Message::PieceRequest(_)
            | Message::Pieces(_) => self.handle_bundle_message(now, &message),
            Message::MembersRequest(request) => self.answer_members(&request),
            Message::MembersAnswer(answer) => {
                for member in &answer.members {
                    self.roster.merge(now, member);
                }
            }
            Message::PlanRequest(request) => self.answer_plans(&request),
            Message::Plan(plan) => self.follow_plan(plan),
            Message::Leave(leave) => self.handle_leave(now, &leave),
            Message::Advert(_) | Message::HistoryRequest(_) | Message::History(_) => {
                self.actions.push(Action::ToForwarder(message));
            }
        }
    }

    fn follow_plan(&mut self, plan: ServicePlan) {
        if self.plans.merge(plan.clone()) {
            self.send_plan(&plan);
            self.actions.push(Action::Plan(plan));
        }
    }

    fn send_plan(&mut self, plan: &ServicePlan) {
        for to in self.neighbour_addresses() {
            self.send(to, Message::Plan(plan.clone()));
        }
    }

    /// Makes a plan, if this instance plans for the service. An instance that
    /// slept may wrongly believe that it does, so it plans nothing until it is
    /// refreshed.
    fn propose(&mut self, service: &ServiceName, moves: Moves) {
        let me = &self.roster.me().name;
        if self.may_be_stale() || !plan::is_author(me, service, self.roster.members()) {
            return;
        }
        let next = self.plans.next(me, service, moves);
        self.follow_plan(next);
    }

    fn set_progress(&mut self, advertised: u64, history: u64) {
        self.history = history;
        self.roster.set_own_progress(self.roster.me().version, advertised);
    }

    fn send(&mut self, to: SocketAddrV4, message: Message) {
        if to != self.address() {
            self.actions.push(Action::Send { to, message });
        }
    }

    fn neighbour_addresses(&self) -> Vec<SocketAddrV4> {
        let names = self.roster.neighbours().iter();
        names.filter_map(|name| self.roster.get(name)).map(|m| m.addresses.control).collect()
    }
}
