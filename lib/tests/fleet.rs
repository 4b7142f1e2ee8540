//! Simulations of several instances' control state machines in virtual time.

#[path = "fleet/net.rs"]
mod net;
#[path = "fleet/test_faults.rs"]
mod test_faults;
#[path = "fleet/test_members.rs"]
mod test_members;
#[path = "fleet/test_plan.rs"]
mod test_plan;
#[path = "fleet/test_spread.rs"]
mod test_spread;
