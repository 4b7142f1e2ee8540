//! What operators are shown: questions go to the main thread and come back.

use super::inbox::{Event, Question, Sender};
use medlarspur_lib::{
    packet::FlowKey,
    status::{MarkedExplanation, MarkedStatus},
};
use medlarspur_operator::MarkedSource;
use std::{
    sync::mpsc::{SyncSender, sync_channel},
    time::Duration,
};

/// How long the main thread may take to answer. It looks at its inbox after each batch of
/// packets; at a twentieth of a core and with many batches that may be some 100 ms.
const ANSWER: Duration = Duration::from_secs(1);

/// Asks the main thread.
#[derive(Debug)]
pub struct Shown {
    sender: Sender,
}

impl Shown {
    /// One that asks by way of the inbox.
    pub fn new(sender: Sender) -> Shown {
        Shown { sender }
    }

    fn ask<T>(&self, question: impl FnOnce(SyncSender<T>) -> Question) -> Option<T> {
        let (reply, answer) = sync_channel(1);
        self.sender.send(Event::Shown(question(reply)));
        answer.recv_timeout(ANSWER).ok()
    }
}

impl MarkedSource for Shown {
    fn status(&self) -> Option<MarkedStatus> {
        self.ask(Question::Status)
    }

    fn explain(&self, flow: &FlowKey) -> Option<MarkedExplanation> {
        let flow = medlarspur_marked::FlowKey { caller: flow.caller, service: flow.service };
        self.ask(|reply| Question::Explain(flow, reply))
    }
}
