//! Where the answers come from.

use medlarspur_lib::{
    packet::FlowKey,
    status::{Explanation, FlowStatus, MarkedExplanation, MarkedStatus, Status},
};

/// An instance that can be asked. Its methods run on the thread that serves
/// HTTP and must not wait for the packet path.
pub trait Source: Send + Sync + 'static {
    /// The state of the instance.
    fn status(&self) -> Status;

    /// Where the next packet of `flow` would go, and why.
    fn explain(&self, flow: &FlowKey) -> Explanation;

    /// At most `limit` of the flows that the instance knows.
    fn flows(&self, limit: usize) -> Vec<FlowStatus>;
}

/// An instance that can be asked where the fabric returns marks. Its packet path is
/// asked in turn and is not held up by it; nothing comes back if it is too busy.
pub trait MarkedSource: Send + Sync + 'static {
    /// The state of the instance.
    fn status(&self) -> Option<MarkedStatus>;

    /// Where `flow` goes, and why.
    fn explain(&self, flow: &FlowKey) -> Option<MarkedExplanation>;
}
