//! What a wire has counted. Everything that is not passed on has a reason.

/// Counts since the wire was opened.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams handed to the packet thread.
    pub received: u64,
    /// Datagrams longer than [`MAX_DATAGRAM`](crate::MAX_DATAGRAM). The kernel
    /// cut them, so they are dropped: a cut packet would reach a target as a
    /// broken one.
    pub oversize: u64,
    /// Datagrams without a payload, dropped.
    pub empty: u64,
    /// Receive calls that failed with an error that passes by itself.
    pub transient_errors: u64,
    /// Datagrams that the kernel took for sending.
    pub sent: u64,
    /// Datagrams dropped since the send buffer was full. Waiting for room would
    /// hold up the packets of all other flows.
    pub full: u64,
    /// Datagrams dropped since no route leads to the address, or a firewall or
    /// an earlier ICMP answer refused it.
    pub unreachable: u64,
    /// Datagrams dropped since they exceed the path's MTU: the network to the
    /// targets must carry a caller's packet and 28 bytes.
    pub mtu: u64,
    /// Datagrams dropped by any other error of the send call.
    pub failed: u64,
}
