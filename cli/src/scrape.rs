//! Reads the sums of counters from an instance's metrics.

/// What `top` shows of the counters of an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Packets, whatever became of them.
    pub packets: u64,
    /// Flows, whatever became of them.
    pub flows: u64,
    /// Dropped packets and datagrams.
    pub drops: u64,
}

impl Counters {
    /// Sums the series of each counter in the text form of Prometheus.
    pub fn read(text: &str) -> Counters {
        Counters {
            packets: sum(text, "medlarspur_packets_total"),
            flows: sum(text, "medlarspur_flows_total"),
            drops: sum(text, "medlarspur_drops_total"),
        }
    }
}

fn sum(text: &str, name: &str) -> u64 {
    let series = text.lines().filter_map(|line| {
        let rest = line.strip_prefix(name)?;
        let (labels, value) = rest.rsplit_once(' ')?;
        (labels.is_empty() || labels.starts_with('{')).then(|| value.parse::<u64>().ok())?
    });
    series.sum()
}
