//! The histograms of a service and class.

use medlarspur_lib::{bundle::Class, ids::ServiceName};
use opentelemetry::{
    KeyValue,
    metrics::{BoundHistogram, Histogram, Meter},
};
use std::time::Duration;

/// From the 5 µs of a lookup to the few milliseconds of a held packet.
const FORWARD_BOUNDS: [f64; 11] =
    [5e-6, 1e-5, 2e-5, 5e-5, 1e-4, 2.5e-4, 1e-3, 2.5e-3, 5e-3, 1e-2, 5e-2];
/// From admission at once to the longest wait that a caller is given.
const WAIT_BOUNDS: [f64; 10] = [1e-4, 1e-3, 5e-3, 1e-2, 2.5e-2, 5e-2, 0.1, 0.25, 0.5, 1.0];
/// From the round trip within a failure domain to a few lost packets.
const HANDSHAKE_BOUNDS: [f64; 10] = [1e-3, 2e-3, 5e-3, 1e-2, 2.5e-2, 5e-2, 0.1, 0.5, 1.0, 3.0];
/// From the fastest request to the longest time that callers wait.
const ANSWER_BOUNDS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 8.0];
/// From a short request to a feed of a day.
const LIFETIME_BOUNDS: [f64; 10] =
    [0.1, 1.0, 5.0, 30.0, 120.0, 600.0, 3600.0, 14400.0, 43200.0, 86400.0];

/// The histograms of all services.
pub(super) struct Histograms {
    forward: Histogram<f64>,
    wait: Histogram<f64>,
    handshake: Histogram<f64>,
    answer: Histogram<f64>,
    lifetime: Histogram<f64>,
}

impl Histograms {
    pub(super) fn new(meter: &Meter) -> Histograms {
        let histogram = |name, description, bounds: &[f64]| {
            meter
                .f64_histogram(name)
                .with_description(description)
                .with_boundaries(bounds.to_vec())
                .build()
        };
        Histograms {
            forward: histogram(
                "medlarspur_forward_seconds",
                "Time from a packet's arrival to its way on; sampled.",
                &FORWARD_BOUNDS,
            ),
            wait: histogram(
                "medlarspur_wait_seconds",
                "Time that an opening waited before it was admitted.",
                &WAIT_BOUNDS,
            ),
            handshake: histogram(
                "medlarspur_handshake_seconds",
                "Time from an opening to the next packet of its flow here.",
                &HANDSHAKE_BOUNDS,
            ),
            answer: histogram(
                "medlarspur_answer_seconds",
                "Time from a request to the acknowledgement of its first answer.",
                &ANSWER_BOUNDS,
            ),
            lifetime: histogram(
                "medlarspur_flow_seconds",
                "Time from the opening to the end of a flow that was opened here.",
                &LIFETIME_BOUNDS,
            ),
        }
    }

    pub(super) fn bind(&self, service: &ServiceName, class: Class) -> ClassMeters {
        let labels = [
            KeyValue::new("service", service.as_str().to_owned()),
            KeyValue::new("class", class_name(class)),
        ];
        ClassMeters {
            forward: self.forward.bind(&labels),
            wait: self.wait.bind(&labels),
            handshake: self.handshake.bind(&labels),
            answer: self.answer.bind(&labels),
            lifetime: self.lifetime.bind(&labels),
        }
    }
}

fn class_name(class: Class) -> &'static str {
    match class {
        Class::Feed => "feed",
        Class::Request => "request",
        Class::Upload => "upload",
    }
}

/// What is measured of one class of a service.
#[derive(Debug)]
pub struct ClassMeters {
    forward: BoundHistogram<f64>,
    wait: BoundHistogram<f64>,
    handshake: BoundHistogram<f64>,
    answer: BoundHistogram<f64>,
    lifetime: BoundHistogram<f64>,
}

impl ClassMeters {
    /// A packet went on this long after it arrived. Sample it: at full rate
    /// the clock alone costs more than the lookup that it measures.
    pub fn record_forward(&self, time: Duration) {
        self.forward.record(time.as_secs_f64());
    }

    /// An opening waited this long before it was admitted.
    pub fn record_wait(&self, time: Duration) {
        self.wait.record(time.as_secs_f64());
    }

    /// This long after its opening, the next packet of a flow came. That ends
    /// the handshake, if the fabric does not spray packets of a flow.
    pub fn record_handshake(&self, time: Duration) {
        self.handshake.record(time.as_secs_f64());
    }

    /// This long after a request, its caller acknowledged a first part of the
    /// answer.
    pub fn record_answer(&self, time: Duration) {
        self.answer.record(time.as_secs_f64());
    }

    /// A flow ended this long after its opening.
    pub fn record_lifetime(&self, time: Duration) {
        self.lifetime.record(time.as_secs_f64());
    }
}
