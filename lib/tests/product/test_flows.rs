//! What a flow table tells operators of a flow, and what an entry costs.

use medlarspur_lib::{
    bundle::Class,
    flows::{Belief, Flow, Flows},
    ids::FlowId,
    time::Millis,
    view::TargetId,
};

#[test]
fn an_entry_with_its_key_stays_at_24_bytes() {
    assert_eq!(size_of::<(FlowId, Flow)>(), 24);
}

#[test]
fn a_flow_keeps_its_age_when_its_target_becomes_surer() {
    let mut flows = Flows::default();
    let flow = |belief, at| Flow::new(TargetId(1), belief, Class::Feed, at);
    flows.note(FlowId(9), flow(Belief::Guessed, Millis::secs(10)));
    flows.note(FlowId(9), flow(Belief::Seen, Millis::secs(40)));

    let found = flows.get(FlowId(9)).expect("noted");

    assert_eq!(found.belief, Belief::Seen);
    assert_eq!(found.age(Millis::secs(70)), Millis::secs(60));
    assert_eq!(found.idle(Millis::secs(70)), Millis::secs(30));
}
