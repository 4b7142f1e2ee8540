//! Status and explanations for operators, requested from the main thread.

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

/// Maximum time to wait for the main thread. It reads its inbox in each round, after a few
/// batches of packets; on a twentieth of a core that may take some 100 ms.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers operators' requests by querying the main thread.
#[derive(Debug)]
pub struct StatusSource {
    sender: Sender,
}

impl StatusSource {
    /// Creates a source that sends queries to the main thread's inbox.
    pub fn new(sender: Sender) -> StatusSource {
        StatusSource { sender }
    }

    fn request<T>(&self, query: impl FnOnce(SyncSender<T>) -> OperatorQuery) -> Option<T> {
        let (reply, answer) = sync_channel(1);
        self.sender.send(Event::Operator(query(reply)));
        answer.recv_timeout(REPLY_TIMEOUT).ok()
    }
}

impl MarkedSource for StatusSource {
    fn status(&self) -> Option<MarkedStatus> {
        self.request(OperatorQuery::Status)
    }

    fn explain(&self, flow: &FlowKey) -> Option<MarkedExplanation> {
        let flow = medlarspur_marked::FlowKey { caller: flow.caller, service: flow.service };
        self.request(|reply| OperatorQuery::Explain(flow, reply))
    }
}
