//! Where the answers come from.

use medlarspur_lib::{
    packet::FlowKey,
    status::{Explanation, FlowStatus, Status},
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
