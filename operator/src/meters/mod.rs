//! What an instance counts and measures.
//!
//! A thread asks once for the handle of each series that it records, and then
//! records without looking anything up: a counter is one atomic addition, a
//! histogram one short lock that only a scrape contends for.

mod class;
mod counter;
mod family;
mod forwarder;

pub use self::{
    class::ClassMeters,
    counter::Counter,
    family::{Family, Gauge},
};

use self::{class::Histograms, counter::Counters};
use medlarspur_lib::{bundle::Class, collections::Map, ids::ServiceName};
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::{
    error::OTelSdkError,
    metrics::{Instrument, SdkMeterProvider, Stream},
};
use prometheus::{Encoder, Registry, TextEncoder};
use snafu::{ResultExt, Snafu};
use std::sync::{Arc, Mutex, PoisonError};

/// The most series of one metric; the library's own limit of 2,000 would put
/// the services beyond it into one nameless series at the target size.
const MAX_SERIES: usize = 16_384;

/// Why metrics can't be set up or written.
#[derive(Debug, Snafu)]
pub enum MetersError {
    /// The exporter refuses its registry.
    #[snafu(display("the metrics exporter can't be set up"))]
    Exporter {
        /// What the library says.
        source: OTelSdkError,
    },
    /// The metrics have no text form.
    #[snafu(display("the metrics can't be written as text"))]
    Encode {
        /// What the library says.
        source: prometheus::Error,
    },
}

/// All metrics of an instance; clones share them.
#[derive(Clone)]
pub struct Meters(Arc<Inner>);

struct Inner {
    registry: Registry,
    /// Holds the pipeline; without it every instrument falls silent.
    _provider: SdkMeterProvider,
    meter: Meter,
    counters: Counters,
    histograms: Histograms,
    classes: Mutex<Map<(ServiceName, Class), Arc<ClassMeters>>>,
}

impl Meters {
    /// Sets up all metrics, each at zero.
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
        let classes = Mutex::default();
        let inner = Inner { registry, _provider: provider, meter, counters, histograms, classes };
        Ok(Meters(Arc::new(inner)))
    }

    /// The counter of `family` for one `label`, which shows at zero at once;
    /// the same one at each call.
    pub fn counter(&self, family: Family, label: &'static str) -> Counter {
        self.0.counters.counter(family, label)
    }

    /// Shows a number that somebody else counts, read by `read` at each scrape.
    pub fn observe_counter(
        &self,
        family: Family,
        label: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        self.0.counters.observe(family, label, Box::new(read));
    }

    /// The meters of one class of a service; the same ones at each call.
    pub fn class(&self, service: &ServiceName, class: Class) -> Arc<ClassMeters> {
        let mut classes = self.0.classes.lock().unwrap_or_else(PoisonError::into_inner);
        let create = || Arc::new(self.0.histograms.bind(service, class));
        classes.entry((service.clone(), class)).or_insert_with(create).clone()
    }

    /// Reads a gauge from `value` at each scrape.
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

    /// Everything in the text form of Prometheus.
    ///
    /// # Errors
    ///
    /// Fails if a metric has no text form.
    pub fn text(&self) -> Result<String, MetersError> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.0.registry.gather(), &mut text).context(EncodeSnafu)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}

fn raise_series_limit(_: &Instrument) -> Option<Stream> {
    Stream::builder().with_cardinality_limit(MAX_SERIES).build().ok()
}
