use medlarspur_lib::time::Millis;
use medlarspur_load::{random::Random, refusal::Overload, retry::Budget};

/// The waits that 100 callers a second are told after so many seconds of an
/// overload in which twice as many come as fit.
fn waits(seconds: u64) -> Vec<u64> {
    let (mut overload, mut random) = (Overload::default(), Random::new(1));
    let mut waits = Vec::new();
    for at in (0..seconds * 1_000).step_by(10) {
        overload.admit(Millis(at));
        waits.push(overload.refuse(Millis(at), true, &mut random).0);
    }
    waits.split_off(waits.len() - 100)
}

fn mean(waits: &[u64]) -> u64 {
    waits.iter().sum::<u64>() / waits.len() as u64
}

/// Callers that are all told the same come back as one crowd.
#[test]
fn callers_are_told_different_waits() {
    let mut waits = waits(10);
    let mean = mean(&waits);
    waits.sort_unstable();
    waits.dedup();
    assert!(waits.len() > 90, "{}", waits.len());
    assert!(waits[0] < mean * 7 / 10 && waits[waits.len() - 1] > mean * 13 / 10);
}

#[test]
fn the_wait_grows_with_the_overload_and_is_bounded() {
    let (short, long, longest) = (waits(1), waits(20), waits(600));
    assert!(mean(&short) < 2_000);
    assert!(mean(&long) > 2 * mean(&short));
    assert!(longest.iter().all(|&wait| wait <= 45_000));
}

/// All callers of a failed target repeat at once, again and again. Let in like
/// new ones they hold the overload up after its cause has gone.
#[test]
fn early_repetitions_get_a_part_of_what_new_openings_get() {
    let mut budget = Budget::new();
    let mut early = 0;
    for _ in 0..1_000 {
        budget.admit(false, 20);
        while budget.allows() {
            budget.admit(true, 20);
            early += 1;
        }
    }
    assert!((200..=220).contains(&early), "{early}");
}
