//! What the threads let each other see. One thread writes each part; the
//! others read whole values and never wait.

use arc_swap::{ArcSwap, ArcSwapOption};
use medlarspur_lib::{
    bundle::Signed,
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

/// How many messages fit into a ring between two threads: more than one tick
/// of the slower one brings.
pub const RING_CAPACITY: usize = 1024;

/// What the control thread asks of the packet thread.
#[derive(Debug)]
pub enum Command {
    /// A peer's advert for this instance as a keeper.
    Advert(Advert),
    /// The process slept.
    Paused,
    /// A probe of a target has ended.
    Probed(medlarspur_target::Event),
}

/// A question of an operator about flows.
#[derive(Debug)]
pub enum FlowQuery {
    /// What is known of one flow.
    One(FlowKey, SyncSender<Option<KnownFlow>>),
    /// Some of the flows.
    List(usize, SyncSender<Vec<KnownFlow>>),
    /// How many flows go to each target, by its local id.
    Counts(SyncSender<Vec<u64>>),
}

/// What the packet thread knows of a flow.
#[derive(Debug, Clone)]
pub struct KnownFlow {
    /// The flow's id.
    pub id: medlarspur_lib::ids::FlowId,
    /// What the flow table holds.
    pub flow: medlarspur_lib::flows::Flow,
    /// How long it is known.
    pub age: Millis,
    /// How long its last packet is ago.
    pub idle: Millis,
}

/// What the packet thread hands to the control thread.
#[derive(Debug)]
pub struct KeeperAdvert {
    /// The instance that keeps the flows.
    pub keeper: InstanceName,
    /// The flows.
    pub advert: Advert,
}

/// The stages of an instance's life, as others see them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Stage {
    /// Learns the bundle.
    Starting,
    /// Forwards.
    Serving,
    /// Forwards what still comes, and hands over.
    Leaving,
    /// Forwards nothing any more.
    Stopped,
}

impl Stage {
    /// Its name in logs and in the status.
    pub fn label(self) -> &'static str {
        match self {
            Stage::Starting => "starting",
            Stage::Serving => "serving",
            Stage::Leaving => "leaving",
            Stage::Stopped => "stopped",
        }
    }
}

/// The parts.
#[derive(Debug, Default)]
pub struct Shared {
    /// The view in force; written by the control thread.
    pub view: ArcSwapOption<View>,
    /// What the forwarder counted; written by the packet thread.
    pub counters: ArcSwap<Counters>,
    /// The bundle in force as it was signed off; written by the control thread.
    pub signed_bundle: ArcSwapOption<Signed>,
    /// When it was accepted.
    pub accepted_at: AtomicU64,
    /// Whether its version was seen with two contents.
    pub conflict: AtomicBool,
    /// Which life of the instance this is.
    pub incarnation: AtomicU64,
    /// Whether keepers were told all; written by the packet thread.
    pub keepers_updated: AtomicBool,
    /// How many flows are known; written by the packet thread.
    pub flows: AtomicU64,
    /// When the last packet came; written by the packet thread.
    pub last_packet: AtomicU64,
    /// Messages that found a ring full.
    pub overruns: AtomicU64,
    /// What the socket of the fabric counted; written by the packet thread.
    pub fabric: ArcSwap<medlarspur_fabric::Counts>,
    /// What the socket of questions counted; written by the packet thread.
    pub questions: ArcSwap<medlarspur_fabric::Counts>,
    /// What the platform's reader counted; written by the control thread.
    pub platform: ArcSwap<medlarspur_platform::Counts>,
    /// What the prober of targets counted; written by the control thread.
    pub probes: ArcSwap<medlarspur_target::Counts>,
    /// The plans that are followed; written by the control thread.
    pub plans: ArcSwap<Map<ServiceName, Arc<ServicePlan>>>,
    /// What the control connections counted; written by the control thread.
    pub peers: ArcSwap<medlarspur_peer::Counters>,
    /// Set once to end all threads.
    pub stop: AtomicBool,
    stage: AtomicU8,
}

impl Shared {
    /// The stage of the instance's life.
    pub fn stage(&self) -> Stage {
        match self.stage.load(Relaxed) {
            0 => Stage::Starting,
            1 => Stage::Serving,
            2 => Stage::Leaving,
            _ => Stage::Stopped,
        }
    }

    /// Enters a stage; only `life` does.
    pub(crate) fn set_stage(&self, stage: Stage) {
        self.stage.store(stage as u8, Relaxed);
        log::info!("stage={}", stage.label());
    }

    /// Whether the threads shall end.
    pub fn should_stop(&self) -> bool {
        self.stop.load(Relaxed)
    }

    /// Counts a message that found a ring full.
    pub fn count_overrun(&self) {
        self.overruns.fetch_add(1, Relaxed);
    }
}
