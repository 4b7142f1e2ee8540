//! Asks targets whether they answer, all of them on one thread.
//!
//! When a failure domain is cut off or goes dark, many of its targets are in doubt in the same
//! moment, and each question waits for its whole time. A fixed number of questions is under way,
//! the others wait in the order in which they came, each target once.

use super::inbox::{self, Delivery, Event, Inbox, Sender};
use medlarspur_fabric::stream::poll_until;
use medlarspur_lib::{collections::Set, ids::TargetName};
use medlarspur_marked::{Incarnation, ProbeResult, Target};
use medlarspur_platform::site::health::Question;
use nix::poll::{PollFd, PollFlags};
use std::{collections::VecDeque, io, net::SocketAddrV4, thread, time::Instant};

/// How many targets are asked at once. Each holds up to two of the process's files.
pub const MAX_QUESTIONS: usize = 64;
/// How many may wait for that. One too many is left out: the next doubt asks again.
pub const MAX_WAITING: usize = 1_024;
/// The thread needs room for one answer's head.
const STACK: usize = 64 << 10;

/// Asks targets. Its thread starts with the first question, which most instances never have.
#[derive(Debug)]
pub struct Asker {
    sender: Sender,
    orders: Option<Sender<Order>>,
}

/// A target to ask.
#[derive(Debug)]
struct Order {
    incarnation: Incarnation,
    name: TargetName,
    address: SocketAddrV4,
    path: Box<str>,
}

impl Asker {
    /// One that hands what it finds to the main thread.
    pub fn new(sender: Sender) -> Asker {
        Asker { sender, orders: None }
    }

    /// Asks without waiting for the answer.
    pub fn ask(&mut self, target: &Target, path: &str) {
        let incarnation = target.incarnation;
        let (name, address) = (target.name.clone(), target.address);
        let order = Order { incarnation, name, address, path: path.into() };
        match self.orders().map(|orders| orders.send(order)) {
            Ok(Delivery::Taken) => {}
            Ok(Delivery::Full) => log::warn!("ask: {incarnation} is not asked, others wait"),
            Ok(Delivery::Ended) => self.orders = None,
            Err(error) => log::warn!("ask: {incarnation} is not asked: {error}"),
        }
    }

    fn orders(&mut self) -> io::Result<&Sender<Order>> {
        let orders = match self.orders.take() {
            Some(orders) => orders,
            None => {
                let (orders, inbox) = inbox::channel()?;
                let asking = Asking::new(inbox, self.sender.clone());
                let thread = thread::Builder::new().name("ask".to_owned()).stack_size(STACK);
                thread.spawn(move || asking.run())?;
                orders
            }
        };
        Ok(self.orders.insert(orders))
    }
}

/// The thread that asks.
struct Asking {
    inbox: Inbox<Order>,
    sender: Sender,
    /// Targets that wait to be asked, and those that wait or are asked.
    waiting: VecDeque<Order>,
    known: Set<Incarnation>,
    questions: Vec<(Incarnation, Question)>,
}

impl Asking {
    fn new(inbox: Inbox<Order>, sender: Sender) -> Asking {
        let (waiting, known) = (VecDeque::new(), Set::default());
        Asking { inbox, sender, waiting, known, questions: Vec::new() }
    }

    fn run(mut self) {
        while !self.inbox.is_ended() {
            for order in self.inbox.drain() {
                if self.waiting.len() >= MAX_WAITING {
                    log::warn!("ask: {} is not asked, others wait", order.incarnation);
                } else if self.known.insert(order.incarnation) {
                    self.waiting.push_back(order);
                }
            }
            self.begin();
            match self.wait() {
                Ok(ready) => self.advance(&ready),
                Err(error) => {
                    log::error!("ask: all questions are given up: {error}");
                    return;
                }
            }
        }
    }

    fn begin(&mut self) {
        while self.questions.len() < MAX_QUESTIONS {
            let Some(order) = self.waiting.pop_front() else { return };
            let Order { incarnation, name, address, path } = order;
            match Question::begin(&name, address, &path, Instant::now()) {
                Ok(question) => self.questions.push((incarnation, question)),
                Err(finding) => self.report(incarnation, finding),
            }
        }
    }

    /// Waits for an order, an answer, or until a question is due; tells which questions have
    /// a socket that is ready.
    fn wait(&self) -> io::Result<Vec<bool>> {
        let due = self.questions.iter().map(|(_, question)| question.due()).min();
        let sockets = self.questions.iter().enumerate();
        let sockets = sockets.flat_map(|(at, (_, it))| it.sockets().map(move |fd| (at, fd)));
        let (positions, mut fds): (Vec<usize>, Vec<PollFd<'_>>) = sockets.unzip();
        fds.push(PollFd::new(self.inbox.waker(), PollFlags::POLLIN));
        poll_until(&mut fds, due)?;
        let mut ready = vec![false; self.questions.len()];
        for (position, fd) in positions.into_iter().zip(&fds) {
            ready[position] |= fd.any() == Some(true);
        }
        Ok(ready)
    }

    fn advance(&mut self, ready: &[bool]) {
        let now = Instant::now();
        let mut found = Vec::new();
        let mut ready = ready.iter();
        self.questions.retain_mut(|(incarnation, question)| {
            let is_ready = ready.next() == Some(&true);
            let finding = (is_ready || question.due() <= now).then(|| question.advance(now));
            match finding.flatten() {
                Some(finding) => found.push((*incarnation, finding)),
                None => return true,
            }
            false
        });
        for (incarnation, finding) in found {
            self.report(incarnation, finding);
        }
    }

    fn report(&mut self, incarnation: Incarnation, finding: ProbeResult) {
        self.known.remove(&incarnation);
        if self.sender.send(Event::Found(incarnation, finding)) == Delivery::Full {
            log::warn!("ask: what {incarnation} answered is lost, the inbox is full");
        }
    }
}
