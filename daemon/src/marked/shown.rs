//! What operators are shown: questions go to the main thread and come back.

use super::inbox::{Event, OperatorQuery, Sender};
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
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks the main thread.
#[derive(Debug)]
pub struct StatusSource {
    sender: Sender,
}

impl StatusSource {
    /// One that asks by way of the inbox.
    pub fn new(sender: Sender) -> StatusSource {
        StatusSource { sender }
    }

    fn ask<T>(&self, query: impl FnOnce(SyncSender<T>) -> OperatorQuery) -> Option<T> {
        let (reply, answer) = sync_channel(1);
        self.sender.send(Event::Operator(query(reply)));
        answer.recv_timeout(REPLY_TIMEOUT).ok()
    }
}

impl MarkedSource for StatusSource {
    fn status(&self) -> Option<MarkedStatus> {
        self.ask(OperatorQuery::Status)
    }

    fn explain(&self, flow: &FlowKey) -> Option<MarkedExplanation> {
        let flow = medlarspur_marked::FlowKey { caller: flow.caller, service: flow.service };
        self.ask(|reply| OperatorQuery::Explain(flow, reply))
    }
}
