//! Names, labels and descriptions of the counters and gauges.

/// Counters of one metric, which differ in one label.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Family {
    /// Packets of callers, by event. One packet may count in several events.
    Packets,
    /// Flows, by event.
    Flows,
    /// Packets and datagrams that were dropped, by reason.
    Drops,
    /// Bundles received, by outcome.
    Bundles,
    /// Control messages of peers, by event.
    Messages,
    /// Questions to peers about flows, by answer.
    Questions,
    /// Times that a ring between threads was full, by ring.
    Rings,
    /// Calls to the platform, by result.
    Platform,
    /// Probes of targets, by result.
    Probes,
    /// Requests that ended, by outcome.
    Requests,
    /// Pauses of the process, by event.
    Pauses,
    /// Bytes of control messages to peers, by kind of message.
    ControlSent,
    /// Bytes of control messages from peers, by kind of message.
    ControlReceived,
}

impl Family {
    /// Every family.
    pub const ALL: [Family; 13] = [
        Family::Packets,
        Family::Flows,
        Family::Drops,
        Family::Bundles,
        Family::Messages,
        Family::Questions,
        Family::Rings,
        Family::Platform,
        Family::Probes,
        Family::Requests,
        Family::Pauses,
        Family::ControlSent,
        Family::ControlReceived,
    ];

    /// Returns the name of the metric, without the suffix `_total` that the exporter adds.
    pub fn name(self) -> &'static str {
        match self {
            Family::Packets => "medlarspur_packets",
            Family::Flows => "medlarspur_flows",
            Family::Drops => "medlarspur_drops",
            Family::Bundles => "medlarspur_bundles",
            Family::Messages => "medlarspur_messages",
            Family::Questions => "medlarspur_questions",
            Family::Rings => "medlarspur_ring_full",
            Family::Platform => "medlarspur_platform_calls",
            Family::Probes => "medlarspur_probes",
            Family::Requests => "medlarspur_requests",
            Family::Pauses => "medlarspur_pauses",
            Family::ControlSent => "medlarspur_control_sent_bytes",
            Family::ControlReceived => "medlarspur_control_received_bytes",
        }
    }

    /// Returns the name of the label in which the series differ.
    pub fn label(self) -> &'static str {
        match self {
            Family::Packets | Family::Flows | Family::Messages | Family::Pauses => "event",
            Family::Bundles | Family::Requests => "outcome",
            Family::Drops => "reason",
            Family::Questions => "answer",
            Family::Rings => "ring",
            Family::Platform | Family::Probes => "result",
            Family::ControlSent | Family::ControlReceived => "kind",
        }
    }

    pub(super) fn description(self) -> &'static str {
        match self {
            Family::Packets => "Packets of callers, by event.",
            Family::Flows => "Flows, by event.",
            Family::Drops => "Packets and datagrams that were dropped.",
            Family::Bundles => "Bundles that were offered, by what became of them.",
            Family::Messages => "Control messages of peers, by event.",
            Family::Questions => "Questions to peers about flows, by answer.",
            Family::Rings => "Times that a ring between threads was full.",
            Family::Platform => "Calls to the platform, by result.",
            Family::Probes => "Probes of targets, by result.",
            Family::Requests => "Requests that ended, by outcome.",
            Family::Pauses => "Pauses of the process.",
            Family::ControlSent => "Bytes of control messages to peers, by kind.",
            Family::ControlReceived => "Bytes of control messages from peers, by kind.",
        }
    }
}

/// A metric whose value can rise and fall, read at each scrape.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Gauge {
    /// 1 while the instance is ready, else 0.
    Ready,
    /// Number of flows in the flow table.
    FlowsHeld,
    /// Number of instances that are believed to be live.
    MembersLive,
    /// Version of the bundle in force, 0 without one.
    BundleVersion,
    /// 1 while two bundles with the version in force are known, else 0.
    BundleConflict,
    /// Number of buckets with earlier owners that may still have flows.
    BucketsMoving,
    /// 1 while the last call to the platform was answered, else 0.
    PlatformReachable,
    /// 1 while the instance reads the platform for others, else 0.
    Reading,
    /// Milliseconds since the catalog was last confirmed.
    CatalogAge,
    /// Revision up to which all changes of targets and routes are known.
    CatalogRevision,
    /// Era of [`CatalogRevision`](Self::CatalogRevision): how often the platform had been
    /// restored from a copy by then.
    CatalogEra,
    /// Number of listed targets that answer.
    TargetsLive,
    /// Number of listed targets that don't answer.
    TargetsLost,
    /// Number of targets that accept no openings but serve the flows that they have.
    TargetsFull,
    /// Number of targets that get no new flows because they fail more than their peers.
    TargetsExcluded,
    /// Number of failure domains that operators have evacuated.
    DomainsEvacuated,
    /// Number of routes of the config in force that can't be served.
    RoutesOmitted,
}

impl Gauge {
    /// Every gauge.
    pub const ALL: [Gauge; 17] = [
        Gauge::Ready,
        Gauge::FlowsHeld,
        Gauge::MembersLive,
        Gauge::BundleVersion,
        Gauge::BundleConflict,
        Gauge::BucketsMoving,
        Gauge::PlatformReachable,
        Gauge::Reading,
        Gauge::CatalogAge,
        Gauge::CatalogRevision,
        Gauge::CatalogEra,
        Gauge::TargetsLive,
        Gauge::TargetsLost,
        Gauge::TargetsFull,
        Gauge::TargetsExcluded,
        Gauge::DomainsEvacuated,
        Gauge::RoutesOmitted,
    ];

    /// Returns the name of the metric.
    pub fn name(self) -> &'static str {
        match self {
            Gauge::Ready => "medlarspur_ready",
            Gauge::FlowsHeld => "medlarspur_flows_held",
            Gauge::MembersLive => "medlarspur_members_live",
            Gauge::BundleVersion => "medlarspur_bundle_version",
            Gauge::BundleConflict => "medlarspur_bundle_conflict",
            Gauge::BucketsMoving => "medlarspur_buckets_moving",
            Gauge::PlatformReachable => "medlarspur_platform_reachable",
            Gauge::Reading => "medlarspur_reading",
            Gauge::CatalogAge => "medlarspur_picture_age_milliseconds",
            Gauge::CatalogRevision => "medlarspur_picture_revision",
            Gauge::CatalogEra => "medlarspur_picture_era",
            Gauge::TargetsLive => "medlarspur_targets_live",
            Gauge::TargetsLost => "medlarspur_targets_lost",
            Gauge::TargetsFull => "medlarspur_targets_full",
            Gauge::TargetsExcluded => "medlarspur_targets_excluded",
            Gauge::DomainsEvacuated => "medlarspur_domains_evacuated",
            Gauge::RoutesOmitted => "medlarspur_routes_omitted",
        }
    }

    pub(super) fn description(self) -> &'static str {
        match self {
            Gauge::Ready => "1 while the instance serves.",
            Gauge::FlowsHeld => "Flows that the instance knows.",
            Gauge::MembersLive => "Instances that it believes to be live.",
            Gauge::BundleVersion => "Version of the bundle in force, 0 without one.",
            Gauge::BundleConflict => "1 while this version is known with two contents.",
            Gauge::BucketsMoving => "Buckets with earlier owners that may hold flows.",
            Gauge::PlatformReachable => "1 while the last call to the platform was answered.",
            Gauge::Reading => "1 while the instance reads the platform for others.",
            Gauge::CatalogAge => "Time since the targets and routes were confirmed.",
            Gauge::CatalogRevision => "Revision up to which all changes are known.",
            Gauge::CatalogEra => "How often the platform had come back from a copy by then.",
            Gauge::TargetsLive => "Targets that are known and answer.",
            Gauge::TargetsLost => "Targets that are listed and don't answer.",
            Gauge::TargetsFull => {
                "Targets that take no openings and serve the flows that they have."
            }
            Gauge::TargetsExcluded => {
                "Targets that get no new flows because they fail more than their peers."
            }
            Gauge::DomainsEvacuated => "Failure domains that operators have emptied.",
            Gauge::RoutesOmitted => "Routes of the config in force that can't be served.",
        }
    }
}
