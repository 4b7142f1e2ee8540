//! Interface through which the server reads an instance.

use medlarspur_lib::{
    packet::FlowKey,
    status::{Explanation, FlowStatus, MarkedExplanation, MarkedStatus, Status},
};

/// An instance whose state can be read. The methods run on the thread that serves HTTP
/// and must not wait for the packet path.
pub trait Source: Send + Sync + 'static {
    /// Returns the state of the instance.
    fn status(&self) -> Status;

    /// Returns the target that the next packet of `flow` would go to, and the reason.
    fn explain(&self, flow: &FlowKey) -> Explanation;

    /// Returns up to `limit` flows of the flow table.
    fn flows(&self, limit: usize) -> Vec<FlowStatus>;
}

/// An instance at a site whose fabric returns marks. The packet path answers between
/// packets and isn't delayed. The methods return `None` if it is too busy to answer.
pub trait MarkedSource: Send + Sync + 'static {
    /// Returns the state of the instance.
    fn status(&self) -> Option<MarkedStatus>;

    /// Returns the target that `flow` goes to, and the reason.
    fn explain(&self, flow: &FlowKey) -> Option<MarkedExplanation>;
}
