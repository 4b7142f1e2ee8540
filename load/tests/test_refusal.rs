use medlarspur_lib::time::Millis;
use medlarspur_load::{
    gate::{refusal::Overload, retry::RetryBudget},
    random::Random,
};

/// Returns the retry times of the last 100 refusals, at 100 a second, after so many seconds
/// of an overload with twice as many openings as fit.
fn wait_times(seconds: u64) -> Vec<u64> {
    let (mut overload, mut random) = (Overload::default(), Random::new(1));
    let mut wait_times = Vec::new();
    for at in (0..seconds * 1_000).step_by(10) {
        overload.record_admission(Millis(at));
        wait_times.push(overload.record_refusal(Millis(at), true, &mut random).0);
    }
    wait_times.split_off(wait_times.len() - 100)
}

fn mean(wait_times: &[u64]) -> u64 {
    wait_times.iter().sum::<u64>() / wait_times.len() as u64
}

/// Guards against callers that return all at once because they got the same retry time.
#[test]
fn callers_get_different_retry_times() {
    let mut wait_times = wait_times(10);
    let mean = mean(&wait_times);
    wait_times.sort_unstable();
    wait_times.dedup();
    assert!(wait_times.len() > 90, "{}", wait_times.len());
    assert!(wait_times[0] < mean * 7 / 10 && wait_times[wait_times.len() - 1] > mean * 13 / 10);
}

#[test]
fn the_retry_time_grows_with_the_overload_and_is_bounded() {
    let (short, long, longest) = (wait_times(1), wait_times(20), wait_times(600));
    assert!(mean(&short) < 2_000);
    assert!(mean(&long) > 2 * mean(&short));
    assert!(longest.iter().all(|&wait| wait <= 45_000));
}

/// Guards against an overload that lasts after its cause is gone. All callers of a failed
/// target repeat at once, again and again, and would prolong it if they were admitted
/// like new ones.
#[test]
fn early_repetitions_get_a_fraction_of_what_new_openings_get() {
    let mut budget = RetryBudget::new();
    let mut early = 0;
    for _ in 0..1_000 {
        budget.record_admission(false, 20);
        while budget.has_tokens() {
            budget.record_admission(true, 20);
            early += 1;
        }
    }
    assert!((200..=220).contains(&early), "{early}");
}
