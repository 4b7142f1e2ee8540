//! Metrics of an instance.
//!
//! A thread gets the handle of each series once and then records without a lookup. Adding
//! to a counter is one atomic addition; recording in a histogram takes one short lock, for
//! which only a scrape contends.

mod class;
mod counter;
mod family;
mod forwarder;
mod level;

pub use self::{
    class::ClassMeters,
    counter::Counter,
    family::{Family, Gauge},
    level::LevelMeters,
};

use self::{class::Histograms, counter::Counters, level::LevelCounters};
use medlarspur_lib::{bundle::Class, collections::Map, ids::ServiceName};
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::{
    error::OTelSdkError,
    metrics::{Instrument, SdkMeterProvider, Stream},
};
use prometheus::{Encoder, Registry, TextEncoder};
use snafu::{ResultExt, Snafu};
use std::sync::{Arc, Mutex, PoisonError};

/// Maximum number of series of one metric. The design allows for 3,400 services. The
/// library's default of 2,000 would merge those beyond it into one unnamed series.
const MAX_SERIES: usize = 16_384;

/// Error of setting up or exporting metrics.
#[derive(Debug, Snafu)]
pub enum MetersError {
    /// The exporter rejects its registry.
    #[snafu(display("the metrics exporter can't be set up"))]
    Exporter {
        /// Error of the library.
        source: OTelSdkError,
    },
    /// The metrics can't be encoded as text.
    #[snafu(display("the metrics can't be written as text"))]
    Encode {
        /// Error of the library.
        source: prometheus::Error,
    },
}

/// All metrics of an instance. Clones share them.
#[derive(Clone)]
pub struct Meters(Arc<Inner>);

struct Inner {
    registry: Registry,
    /// Keeps the pipeline alive. Once it is dropped, instruments record nothing.
    _provider: SdkMeterProvider,
    meter: Meter,
    counters: Counters,
    histograms: Histograms,
    levels: LevelCounters,
    classes: Mutex<Map<(ServiceName, Class), Arc<ClassMeters>>>,
}

impl Meters {
    /// Creates all metrics, each at zero.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be set up.
    pub fn new() -> Result<Meters, MetersError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .context(ExporterSnafu)?;
        let provider =
            SdkMeterProvider::builder().with_reader(exporter).with_view(raise_series_limit).build();
        let meter = provider.meter("medlarspur");
        let counters = Counters::new(&meter);
        let histograms = Histograms::new(&meter);
        let levels = LevelCounters::new(&meter);
        let classes = Mutex::default();
        let _provider = provider;
        let inner = Inner { registry, _provider, meter, counters, histograms, levels, classes };
        Ok(Meters(Arc::new(inner)))
    }

    /// Returns the counter of `family` with this `label`, the same one at each call. It is
    /// exported from then on, starting at zero.
    pub fn counter(&self, family: Family, label: &'static str) -> Counter {
        self.0.counters.counter(family, label)
    }

    /// Exports a counter that is kept elsewhere. Each scrape calls `read` for its value.
    pub fn observe_counter(
        &self,
        family: Family,
        label: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        self.0.counters.observe(family, label, Box::new(read));
    }

    /// Returns the histograms of one class of a service, the same ones at each call.
    pub fn class(&self, service: &ServiceName, class: Class) -> Arc<ClassMeters> {
        let mut classes = self.0.classes.lock().unwrap_or_else(PoisonError::into_inner);
        let create = || Arc::new(self.0.histograms.bind(service, class));
        classes.entry((service.clone(), class)).or_insert_with(create).clone()
    }

    /// Returns the counters of one level of a service, the same ones at each call. They are
    /// exported from then on, starting at zero.
    pub fn level(&self, service: &ServiceName, rank: usize) -> LevelMeters {
        self.0.levels.level(service, rank)
    }

    /// Exports a gauge. Each scrape calls `value` for its value.
    pub fn observe_gauge(&self, gauge: Gauge, value: impl Fn() -> u64 + Send + Sync + 'static) {
        let read = move |observer: &dyn opentelemetry::metrics::AsyncInstrument<u64>| {
            observer.observe(value(), &[]);
        };
        let meter = &self.0.meter;
        meter
            .u64_observable_gauge(gauge.name())
            .with_description(gauge.description())
            .with_callback(read)
            .build();
    }

    /// Returns all metrics in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn text(&self) -> Result<String, MetersError> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.0.registry.gather(), &mut text).context(EncodeSnafu)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}

/// Returns a view that raises the limit of series to [`MAX_SERIES`] for every instrument.
fn raise_series_limit(_: &Instrument) -> Option<Stream> {
    Stream::builder().with_cardinality_limit(MAX_SERIES).build().ok()
}
