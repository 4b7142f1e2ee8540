//! Assignment of targets to the instances that probe them.

use medlarspur_lib::ids::{InstanceName, TargetName};
use medlarspur_target::{PROBERS_PER_DOMAIN, is_prober};

fn instances(count: usize) -> Vec<InstanceName> {
    (0..count).map(|ix| InstanceName::new(&format!("instance-{ix}"))).collect()
}

fn targets(count: usize) -> Vec<TargetName> {
    (0..count).map(|ix| TargetName::new(&format!("target-{ix}"))).collect()
}

fn probers(domain: &[InstanceName], target: &TargetName) -> Vec<InstanceName> {
    domain.iter().filter(|me| is_prober(me, domain.iter(), target)).cloned().collect()
}

#[test]
fn each_target_has_two_probers_and_probes_are_balanced() {
    let domain = instances(10);
    let targets = targets(1000);

    let mut work = vec![0; domain.len()];
    for target in &targets {
        let probers = probers(&domain, target);
        assert_eq!(probers.len(), PROBERS_PER_DOMAIN);
        for (ix, me) in domain.iter().enumerate() {
            work[ix] += usize::from(probers.contains(me));
        }
    }

    // 200 each; three standard deviations of a binomial distribution are 38.
    assert!(work.iter().all(|&it| (160..=240).contains(&it)), "{work:?}");
}

/// Guards against reassigning all probes when an instance dies: each target would lose its verdict
/// at once and be unknown to its new probers.
#[test]
fn loss_of_an_instance_moves_only_its_probes() {
    let before = instances(10);
    let after = &before[1..];

    for target in &targets(200) {
        let (old, new) = (probers(&before, target), probers(after, target));
        let kept = old.iter().filter(|it| new.contains(it)).count();
        let lost = usize::from(old.contains(&before[0]));
        assert_eq!(kept, PROBERS_PER_DOMAIN - lost);
    }
}

#[test]
fn single_instance_probes_all_targets() {
    let domain = instances(1);

    assert!(targets(20).iter().all(|target| is_prober(&domain[0], domain.iter(), target)));
}
