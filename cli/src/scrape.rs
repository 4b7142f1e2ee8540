//! Parsing of counters from an instance's metrics.

/// The counters that `top` shows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Number of packets received from the fabric.
    pub packets: u64,
    /// Number of opened flows.
    pub opened: u64,
    /// Number of dropped packets and datagrams.
    pub drops: u64,
}

impl Counters {
    /// Parses the text format of Prometheus and sums the series of each counter.
    pub fn parse(text: &str) -> Counters {
        Counters {
            packets: sum_series(text, "medlarspur_packets_total{event=\"received\"}"),
            opened: sum_series(text, "medlarspur_flows_total{event=\"opened\"}"),
            drops: sum_series(text, "medlarspur_drops_total{"),
        }
    }
}

/// Returns the sum of the series whose lines begin with `prefix`.
fn sum_series(text: &str, prefix: &str) -> u64 {
    let series = text.lines().filter(|line| line.starts_with(prefix));
    let values = series.filter_map(|line| line.rsplit_once(' ')?.1.parse::<u64>().ok());
    values.sum()
}
