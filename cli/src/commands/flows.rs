//! `flows`: lists flows that an instance knows.

use crate::{
    client::Client,
    error::{Code, CommandError},
    flags::Flows,
    output::{self, Table, format_duration},
};
use medlarspur_lib::status::FlowStatus;

/// Number of flows that are requested without `--limit`.
const DEFAULT_LIMIT: usize = 100;

pub fn run(flags: &Flows) -> Result<Code, CommandError> {
    let path = format!("/flows?limit={}", flags.limit.unwrap_or(DEFAULT_LIMIT));
    let flows: Vec<FlowStatus> = Client::new().get_json(flags.instance, &path)?;
    if flags.json {
        output::print_json(&flows)?;
        return Ok(Code::Done);
    }
    print(&flows);
    Ok(Code::Done)
}

fn print(flows: &[FlowStatus]) {
    let mut table = Table::new(&["FLOW", "SERVICE", "CLASS", "TARGET", "AGE", "IDLE", "EXCEPTION"]);
    for flow in flows {
        table.add_row(vec![
            flow.id.clone(),
            flow.service.to_string(),
            flow.class.to_string(),
            flow.target.to_string(),
            format_duration(flow.age.0),
            format_duration(flow.idle.0),
            if flow.exception { "yes" } else { "no" }.to_owned(),
        ]);
    }
    table.print();
}
