//! Runs all integration tests, so that they link once.

#[allow(dead_code, reason = "the measure plays more of it")]
mod model;
mod overload;
mod test_choice;
mod test_estimate;
mod test_failing_target;
mod test_gate;
mod test_heavy_caller;
mod test_lasting_overload;
mod test_limit;
mod test_lines;
mod test_many;
mod test_outcome;
mod test_outlier;
mod test_overload;
mod test_patterns;
mod test_placement;
mod test_priority;
mod test_priority_burst;
mod test_properties;
mod test_refusal;
mod test_reserve;
mod test_retry_storm;
mod test_subset;
mod test_vacancy;
mod test_warmup;
