//! What an instance does for one flow or one piece of news, before few targets and many.

use super::fixtures::{FEED, Instance, change, flow, middle, news, target};
use medlarspur_marked::{Content, Incarnation, Revision, Scope, Target};

fn targets(count: u64) -> Vec<Target> {
    (1..=count).map(|number| target(number, "desk")).collect()
}

/// News that the entries of all these targets have gone.
fn removal(targets: &[Target]) -> medlarspur_marked::News {
    let changes = targets.iter().zip(200_000..);
    let changes =
        changes.map(|(it, revision)| change(revision, Content::Removed(it.name.clone()))).collect();
    news(300_000, Scope::Since(Revision(100)), changes)
}

/// Guards against instances times targets questions when the entries of a failure domain go in
/// one moment.
#[test]
fn questions_about_entries_that_went_do_not_grow_with_the_targets() {
    let asked = |count: u64| {
        let targets = targets(count);
        let mut instance = Instance::new(&targets);
        let with_flow: Vec<Incarnation> =
            (0..6).map(|nth| instance.opened(flow(1_000 + nth, FEED), 0)).collect();
        instance.out.asked.clear();

        instance.learn(removal(&targets), 1_000);

        assert!(with_flow.iter().all(|it| instance.out.asked.contains(it)), "with {count}");
        instance.out.asked.len()
    };

    assert_eq!(asked(1_000), asked(100));
}

/// Guards against a flow that hangs at a target that died: nobody here had a flow there when its
/// entry went, and one comes by way of another instance.
#[test]
fn a_target_whose_entry_went_is_asked_once_a_flow_comes() {
    let targets = targets(100);
    let mut instance = Instance::new(&targets);
    instance.learn(removal(&targets), 1_000);
    let mut unasked = targets.iter().map(|it| it.incarnation);
    let unasked = unasked.rfind(|it| !instance.out.asked.contains(it)).expect("one");
    instance.out.asked.clear();

    instance.packet(middle(flow(1, FEED), unasked, 1001, 500, 100), 1_100);
    instance.packet(middle(flow(2, FEED), unasked, 1001, 500, 100), 1_100);

    assert_eq!(instance.out.asked, [unasked]);
}
