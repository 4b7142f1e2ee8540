//! Tests the rate limit for log lines.

use medlarspur_lib::time::Millis;
use medlarspur_load::lines::{LineBudget, LineVerdict};

/// A failure domain is lost and thousands of flows are reset in a second. The first lines
/// show what happened, and the number of the others is reported.
#[test]
fn a_burst_is_bounded_and_omitted_lines_are_counted() {
    let mut budget = LineBudget::new(Millis(0));
    let mut written = 0;
    let mut reported = 0;
    for nth in 0..5_000 {
        if let LineVerdict::Write { left_out } = budget.take(Millis(nth / 5)) {
            written += 1;
            reported += left_out;
        }
    }
    assert!((290..=300).contains(&written), "{written}");

    let LineVerdict::Write { left_out } = budget.take(Millis(5_000)) else {
        panic!("the budget is empty")
    };

    assert_eq!(written + reported + left_out, 5_000);
}

#[test]
fn no_line_is_omitted_under_ordinary_load() {
    let mut budget = LineBudget::new(Millis(0));

    let all = (0..10_000)
        .all(|nth| matches!(budget.take(Millis(nth * 25)), LineVerdict::Write { left_out: 0 }));

    assert!(all, "forty lines a second");
}
