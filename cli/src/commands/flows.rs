//! `flows`: flows that an instance knows.

use crate::{
    client::Client,
    error::{Code, CommandError},
    flags::Flows,
    output::{self, Table, span},
};
use medlarspur_lib::status::FlowStatus;

/// How many flows are asked for if the command line names no number.
const LIMIT: usize = 100;

pub fn run(flags: &Flows) -> Result<Code, CommandError> {
    let path = format!("/flows?limit={}", flags.limit.unwrap_or(LIMIT));
    let flows: Vec<FlowStatus> = Client::new().json(flags.instance, &path)?;
    if flags.json {
        output::json(&flows)?;
        return Ok(Code::Done);
    }
    print(&flows);
    Ok(Code::Done)
}

fn print(flows: &[FlowStatus]) {
    let mut table = Table::new(&["FLOW", "SERVICE", "CLASS", "TARGET", "AGE", "IDLE", "EXCEPTION"]);
    for flow in flows {
        table.row(vec![
            flow.id.clone(),
            flow.service.to_string(),
            flow.class.to_string(),
            flow.target.to_string(),
            span(flow.age.0),
            span(flow.idle.0),
            if flow.exception { "yes" } else { "no" }.to_owned(),
        ]);
    }
    table.print();
}
