//! Counters of a wire. Each dropped datagram is counted by reason.

/// Counts since the wire was created.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams passed to the packet thread.
    pub received: u64,
    /// Dropped datagrams longer than [`MAX_DATAGRAM`](crate::MAX_DATAGRAM). The kernel truncates
    /// them, and a truncated packet would reach a target damaged.
    pub oversize: u64,
    /// Dropped datagrams without a payload.
    pub empty: u64,
    /// Receive calls that failed with a transient error.
    pub transient_errors: u64,
    /// Datagrams that the kernel accepted for sending.
    pub sent: u64,
    /// Datagrams dropped because the send buffer was full. Waiting until there is space would delay
    /// the packets of all other flows.
    pub full: u64,
    /// Datagrams dropped because no route leads to the address, or because a firewall or an earlier
    /// ICMP message rejected them.
    pub unreachable: u64,
    /// Datagrams dropped because they exceed the path MTU. The network to the targets must carry a
    /// caller's packet plus 28 bytes.
    pub mtu: u64,
    /// Datagrams dropped because of any other error of the send call.
    pub failed: u64,
}
