//! Histograms of a class of a service.
//!
//! All bounds are in seconds.

use medlarspur_lib::{bundle::Class, ids::ServiceName};
use opentelemetry::{
    KeyValue,
    metrics::{BoundHistogram, Histogram, Meter},
};
use std::time::Duration;

/// Bounds from 5 µs, the time of a lookup, to the few milliseconds that a packet is held.
const FORWARD_BOUNDS: [f64; 11] =
    [5e-6, 1e-5, 2e-5, 5e-5, 1e-4, 2.5e-4, 1e-3, 2.5e-3, 5e-3, 1e-2, 5e-2];
/// Bounds from immediate admission to the longest time that an opening may wait.
const WAIT_BOUNDS: [f64; 10] = [1e-4, 1e-3, 5e-3, 1e-2, 2.5e-2, 5e-2, 0.1, 0.25, 0.5, 1.0];
/// Bounds from the round-trip time within a failure domain to a few retransmissions.
const HANDSHAKE_BOUNDS: [f64; 10] = [1e-3, 2e-3, 5e-3, 1e-2, 2.5e-2, 5e-2, 0.1, 0.5, 1.0, 3.0];
/// Bounds from the fastest request to the longest time that callers wait.
const ANSWER_BOUNDS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 8.0];
/// Bounds from a short request to a feed that lasts a day.
const LIFETIME_BOUNDS: [f64; 10] =
    [0.1, 1.0, 5.0, 30.0, 120.0, 600.0, 3600.0, 14400.0, 43200.0, 86400.0];

/// The histograms, shared by all services and classes.
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

/// Histograms of one class of a service.
#[derive(Debug)]
pub struct ClassMeters {
    forward: BoundHistogram<f64>,
    wait: BoundHistogram<f64>,
    handshake: BoundHistogram<f64>,
    answer: BoundHistogram<f64>,
    lifetime: BoundHistogram<f64>,
}

impl ClassMeters {
    /// Records the time from a packet's arrival until it was sent on. Only a sample of the
    /// packets is timed: reading the clock for each costs more than the lookup that is measured.
    pub fn record_forward(&self, time: Duration) {
        self.forward.record(time.as_secs_f64());
    }

    /// Records the time that an opening waited before it was admitted.
    pub fn record_wait(&self, time: Duration) {
        self.wait.record(time.as_secs_f64());
    }

    /// Records the time from the opening of a flow to its next packet. That packet
    /// completes the handshake, unless the fabric sprays the packets of a flow over
    /// instances.
    pub fn record_handshake(&self, time: Duration) {
        self.handshake.record(time.as_secs_f64());
    }

    /// Records the time from a request until its caller acknowledged the first part of the
    /// answer.
    pub fn record_answer(&self, time: Duration) {
        self.answer.record(time.as_secs_f64());
    }

    /// Records the time from the opening of a flow to its end.
    pub fn record_lifetime(&self, time: Duration) {
        self.lifetime.record(time.as_secs_f64());
    }
}
