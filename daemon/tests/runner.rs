//! Tests of the daemon, mostly as a process with stand-ins for its peers.

mod marked;
mod test_check;
mod test_checker;
mod test_gate;
mod test_limits;
mod test_logs;
mod test_marked_asker;
mod test_marked_evacuation;
mod test_marked_explained;
mod test_marked_instances;
mod test_marked_pause;
mod test_marked_pictures;
mod test_marked_soak;
mod test_marked_store;
mod test_marked_targets;
mod test_operators;
mod test_sink;
