//! Reads the sums of counters from an instance's metrics.

/// What `top` shows of the counters of an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Packets from the fabric.
    pub packets: u64,
    /// Flows that were opened.
    pub opened: u64,
    /// Dropped packets and datagrams.
    pub drops: u64,
}

impl Counters {
    /// Sums series of counters in the text form of Prometheus.
    pub fn parse(text: &str) -> Counters {
        Counters {
            packets: sum_series(text, "medlarspur_packets_total{event=\"received\"}"),
            opened: sum_series(text, "medlarspur_flows_total{event=\"opened\"}"),
            drops: sum_series(text, "medlarspur_drops_total{"),
        }
    }
}

fn sum_series(text: &str, prefix: &str) -> u64 {
    let series = text.lines().filter(|line| line.starts_with(prefix));
    let values = series.filter_map(|line| line.rsplit_once(' ')?.1.parse::<u64>().ok());
    values.sum()
}
