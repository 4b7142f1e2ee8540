//! Tests of entries of the flow table: their age and size.

use medlarspur_lib::{
    bundle::Class,
    flows::{Certainty, Flow, Flows},
    ids::FlowId,
    time::Millis,
    view::TargetId,
};

#[test]
fn an_entry_with_its_key_takes_24_bytes() {
    assert_eq!(size_of::<(FlowId, Flow)>(), 24);
}

#[test]
fn a_flow_keeps_its_age_when_its_certainty_grows() {
    let mut flows = Flows::default();
    let flow = |certainty, at| Flow::new(TargetId(1), certainty, Class::Feed, at);
    flows.record(FlowId(9), flow(Certainty::Guessed, Millis::secs(10)));
    flows.record(FlowId(9), flow(Certainty::Observed, Millis::secs(40)));

    let found = flows.get(FlowId(9)).expect("recorded");

    assert_eq!(found.certainty, Certainty::Observed);
    assert_eq!(found.age(Millis::secs(70)), Millis::secs(60));
    assert_eq!(found.idle(Millis::secs(70)), Millis::secs(30));
}
