//! `explain`: where a flow goes and why.

use crate::{
    client::Client,
    error::{Code, CommandError},
    flags::Explain,
    output::{self, or_dash, short, span},
};
use medlarspur_lib::status::{Explanation, MarkedExplanation};
use serde::{Deserialize, Serialize};

/// What an instance answers, by how its site agrees on flows.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum Found {
    Table(Box<Explanation>),
    Marks(Box<MarkedExplanation>),
}

pub fn run(flags: &Explain) -> Result<Code, CommandError> {
    let path = format!("/explain?flow={}", flags.flow);
    let found: Found = Client::new().json(flags.instance, &path)?;
    match &found {
        _ if flags.json => output::json(&found)?,
        Found::Table(found) => print(found),
        Found::Marks(found) => print_marked(found),
    }
    Ok(Code::Done)
}

fn print(found: &Explanation) {
    match &found.target {
        Some(target) => output::line(&format!("{} goes to {target}: {}", found.flow, found.reason)),
        None => output::line(&format!("{} goes nowhere: {}", found.flow, found.reason)),
    }
    output::line(&format!("flow     {}", or_dash(found.id.as_ref())));
    output::line(&format!("service  {}", or_dash(found.service.as_ref())));
    output::line(&format!("class    {}", or_dash(found.class)));
    output::line(&format!("bucket   {}", or_dash(found.bucket)));
    if let Some(bundle) = &found.bundle {
        let digest = short(&bundle.digest);
        output::line(&format!("bundle   version {}, digest {digest}", bundle.version));
    }
    if let Some(plan) = &found.plan {
        let (sequence, author) = (plan.sequence, &plan.author);
        output::line(&format!("plan     number {sequence} by {author}, {} moves", plan.moves));
    }
    for owner in &found.history {
        output::line(&format!("earlier  {} until {} ago", owner.target, span(owner.since.0)));
    }
    for keeper in &found.keepers {
        output::line(&format!("keeper   {keeper}"));
    }
}

fn print_marked(found: &MarkedExplanation) {
    output::line(&format!("{}: {}", found.flow, found.reason));
    output::line(&format!("class    {}", or_dash(found.class)));
    output::picture(&found.picture);
    if let Some(target) = &found.target {
        output::line(&format!("target   {} at {}", target.name, target.address));
    }
    output::targets("CANDIDATE", &found.candidates).print();
}
