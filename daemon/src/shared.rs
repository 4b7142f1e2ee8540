//! State and messages shared by the threads.
//!
//! Each value is written by one thread. The others read consistent copies without
//! waiting.

use arc_swap::{ArcSwap, ArcSwapOption};
use medlarspur_lib::{
    bundle::SignedBundle,
    collections::Map,
    forwarder::Counters,
    ids::{InstanceName, ServiceName},
    message::{Advert, ServicePlan},
    packet::FlowKey,
    time::Millis,
    view::View,
};
use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering::Relaxed},
    mpsc::SyncSender,
};

/// Capacity of a ring between two threads, in messages: more than arrive during one tick
/// of the slower thread.
pub const RING_CAPACITY: usize = 1024;

/// Command of the control thread for the packet thread.
#[derive(Debug)]
pub enum Command {
    /// Stores the flows of a peer's advert, for which this instance is a keeper.
    Advert(Advert),
    /// Reports that the process slept.
    Slept,
    /// Reports the result of a target's probe.
    Probed(medlarspur_target::Event),
}

/// An operator's query about flows, with the channel for the answer.
#[derive(Debug)]
pub enum FlowQuery {
    /// Returns one flow, if it is known.
    One(FlowKey, SyncSender<Option<KnownFlow>>),
    /// Returns flows, up to a maximum number.
    List(usize, SyncSender<Vec<KnownFlow>>),
    /// Returns the number of flows of each target, indexed by the target's local id.
    Counts(SyncSender<Vec<u64>>),
}

/// A flow of the flow table.
#[derive(Debug, Clone)]
pub struct KnownFlow {
    /// The flow's id.
    pub id: medlarspur_lib::ids::FlowId,
    /// The entry in the flow table.
    pub flow: medlarspur_lib::flows::Flow,
    /// Time since the flow was first seen.
    pub age: Millis,
    /// Time since the flow's last packet.
    pub idle: Millis,
}

/// An advert that the packet thread passes to the control thread for sending.
#[derive(Debug)]
pub struct KeeperAdvert {
    /// The instance that keeps copies of the flows.
    pub keeper: InstanceName,
    /// The advert with the flows.
    pub advert: Advert,
}

/// Stage of the instance's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Stage {
    /// Waits for a bundle.
    Starting,
    /// Forwards packets.
    Serving,
    /// Forwards the packets that still arrive and advertises its exceptions to keepers.
    Leaving,
    /// Forwards nothing.
    Stopped,
}

impl Stage {
    /// The stage's name in logs.
    pub fn label(self) -> &'static str {
        match self {
            Stage::Starting => "starting",
            Stage::Serving => "serving",
            Stage::Leaving => "leaving",
            Stage::Stopped => "stopped",
        }
    }
}

/// State that the threads share.
#[derive(Debug, Default)]
pub struct Shared {
    /// The view in force; written by the control thread.
    pub view: ArcSwapOption<View>,
    /// The forwarder's counters; written by the packet thread.
    pub counters: ArcSwap<Counters>,
    /// The bundle in force with its signature; written by the control thread.
    pub signed_bundle: ArcSwapOption<SignedBundle>,
    /// Time at which that bundle was accepted, in milliseconds.
    pub accepted_at: AtomicU64,
    /// Whether a second bundle with different content was seen under its version.
    pub conflict: AtomicBool,
    /// The instance's incarnation.
    pub incarnation: AtomicU64,
    /// Whether all exceptions, which are flows at other targets than the owner of their
    /// bucket, have been advertised to their keepers; written by the packet thread.
    pub advertised_all: AtomicBool,
    /// Number of known flows; written by the packet thread.
    pub flows: AtomicU64,
    /// Time of the last packet, in milliseconds; written by the packet thread.
    pub last_packet: AtomicU64,
    /// Number of messages dropped because a ring was full.
    pub overruns: AtomicU64,
    /// Counters of the socket for packets; written by the packet thread.
    pub fabric: ArcSwap<medlarspur_fabric::Counts>,
    /// Counters of the socket for questions; written by the packet thread.
    pub questions: ArcSwap<medlarspur_fabric::Counts>,
    /// Counters of the platform's reader; written by the control thread.
    pub platform: ArcSwap<medlarspur_platform::Counts>,
    /// Counters of the prober; written by the control thread.
    pub probes: ArcSwap<medlarspur_target::Counts>,
    /// The plans in effect; written by the control thread.
    pub plans: ArcSwap<Map<ServiceName, Arc<ServicePlan>>>,
    /// Counters of the control connections; written by the control thread.
    pub peers: ArcSwap<medlarspur_peer::Counters>,
    /// Set once, to stop all threads.
    pub stop: AtomicBool,
    stage: AtomicU8,
}

impl Shared {
    /// The current stage of the life cycle.
    pub fn stage(&self) -> Stage {
        match self.stage.load(Relaxed) {
            0 => Stage::Starting,
            1 => Stage::Serving,
            2 => Stage::Leaving,
            _ => Stage::Stopped,
        }
    }

    /// Enters a stage. The control thread enters [`Stage::Serving`], the life cycle all
    /// later stages.
    pub(crate) fn set_stage(&self, stage: Stage) {
        self.stage.store(stage as u8, Relaxed);
        log::info!("stage={}", stage.label());
    }

    /// Whether the threads must stop.
    pub fn should_stop(&self) -> bool {
        self.stop.load(Relaxed)
    }

    /// Counts a message dropped because a ring was full.
    pub fn count_overrun(&self) {
        self.overruns.fetch_add(1, Relaxed);
    }
}
