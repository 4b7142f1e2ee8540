//! Runs the tests of the package in one binary.

mod fixtures;
mod net;
mod test_catalog;
mod test_contested;
mod test_convergence;
mod test_delta;
mod test_evacuation;
mod test_evidence;
mod test_fleet;
mod test_flow;
mod test_forwarder;
mod test_full;
mod test_health;
mod test_mark;
mod test_openings;
mod test_outcomes;
mod test_outliers;
mod test_priority;
mod test_properties;
mod test_regions;
mod test_restarts;
mod test_restore;
mod test_scale;
mod test_seats;
mod test_shedding;
mod test_waiting;
