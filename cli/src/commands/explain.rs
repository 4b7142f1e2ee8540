//! `explain`: shows where a flow goes, and why.

use crate::{
    client::Client,
    error::{Code, CommandError},
    flags::Explain,
    output::{self, format_duration, or_dash, short_digest},
};
use medlarspur_lib::status::{Explanation, MarkedExplanation};
use serde::{Deserialize, Serialize};

/// Response of an instance. It differs between sites that map flows by bucket tables and
/// sites whose fabric returns marks.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum InstanceExplanation {
    Table(Box<Explanation>),
    Marks(Box<MarkedExplanation>),
}

pub fn run(flags: &Explain) -> Result<Code, CommandError> {
    let path = format!("/explain?flow={}", flags.flow);
    let explanation: InstanceExplanation = Client::new().get_json(flags.instance, &path)?;
    match &explanation {
        _ if flags.json => output::print_json(&explanation)?,
        InstanceExplanation::Table(explanation) => print(explanation),
        InstanceExplanation::Marks(explanation) => print_marked(explanation),
    }
    Ok(Code::Done)
}

fn print(explanation: &Explanation) {
    match &explanation.target {
        Some(target) => output::print_line(&format!(
            "{} goes to {target}: {}",
            explanation.flow, explanation.reason
        )),
        None => output::print_line(&format!(
            "{} goes nowhere: {}",
            explanation.flow, explanation.reason
        )),
    }
    output::print_line(&format!("flow     {}", or_dash(explanation.id.as_ref())));
    output::print_line(&format!("service  {}", or_dash(explanation.service.as_ref())));
    output::print_line(&format!("class    {}", or_dash(explanation.class)));
    output::print_line(&format!("bucket   {}", or_dash(explanation.bucket)));
    if let Some(bundle) = &explanation.bundle {
        let digest = short_digest(&bundle.digest);
        output::print_line(&format!("bundle   version {}, digest {digest}", bundle.version));
    }
    if let Some(plan) = &explanation.plan {
        let (sequence, author) = (plan.sequence, &plan.author);
        output::print_line(&format!(
            "plan     number {sequence} by {author}, {} moves",
            plan.moves
        ));
    }
    for owner in &explanation.history {
        output::print_line(&format!(
            "earlier  {} until {} ago",
            owner.target,
            format_duration(owner.since.0)
        ));
    }
    for keeper in &explanation.keepers {
        output::print_line(&format!("keeper   {keeper}"));
    }
}

fn print_marked(explanation: &MarkedExplanation) {
    output::print_line(&format!("{}: {}", explanation.flow, explanation.reason));
    output::print_line(&format!("class    {}", or_dash(explanation.class)));
    output::print_catalog(&explanation.picture);
    if let Some(target) = &explanation.target {
        output::print_line(&format!("target   {} at {}", target.name, target.address));
    }
    output::target_table("CANDIDATE", &explanation.candidates).print();
    output::print_excluded(&explanation.candidates);
}
