//! Counters of the flows of a level of a service.

use super::Counter;
use medlarspur_lib::{collections::Map, ids::ServiceName};
use opentelemetry::{
    KeyValue,
    metrics::{AsyncInstrument, Meter},
};
use std::sync::{Arc, Mutex, PoisonError};

/// Counters of one level of a service.
#[derive(Debug, Default, Clone)]
pub struct LevelMeters {
    /// Flows that were sent to a target.
    pub opened: Counter,
    /// Flows that were held until their service had capacity.
    pub held: Counter,
    /// Flows that were reset because no target had capacity for them.
    pub refused: Counter,
}

/// The counters by service and rank of the level.
type Series = Arc<Mutex<Map<(ServiceName, usize), LevelMeters>>>;

/// A metric with one series for each level of a service: its name, its description, and the
/// function that returns the counter.
type Metric = (&'static str, &'static str, fn(&LevelMeters) -> &Counter);

/// Separate metrics rather than one with a label for the event: each metric has a limit on
/// its series, and the thousands of services of the design have several levels each.
const METRICS: [Metric; 3] = [
    ("medlarspur_level_opened", "Flows sent to a target, by level.", |it| &it.opened),
    ("medlarspur_level_held", "Flows held until there was capacity, by level.", |it| &it.held),
    ("medlarspur_level_refused", "Flows refused without a target, by level.", |it| &it.refused),
];

/// The counters of all levels of all services.
pub(super) struct LevelCounters(Series);

impl LevelCounters {
    pub(super) fn new(meter: &Meter) -> LevelCounters {
        let series = Series::default();
        for (name, description, counter) in METRICS {
            let series = series.clone();
            let observe = move |observer: &dyn AsyncInstrument<u64>| {
                let series = series.lock().unwrap_or_else(PoisonError::into_inner);
                for ((service, rank), meters) in series.iter() {
                    let labels = [
                        KeyValue::new("service", service.as_str().to_owned()),
                        KeyValue::new("level", rank.to_string()),
                    ];
                    observer.observe(counter(meters).get(), &labels);
                }
            };
            let metric = meter.u64_observable_counter(name).with_description(description);
            metric.with_callback(observe).build();
        }
        LevelCounters(series)
    }

    pub(super) fn level(&self, service: &ServiceName, rank: usize) -> LevelMeters {
        let mut series = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        series.entry((service.clone(), rank)).or_default().clone()
    }
}
