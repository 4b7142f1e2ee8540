//! `explain`: where a flow goes and why.

use crate::{
    client::Client,
    error::{Code, CommandError},
    flags::Explain,
    output::{self, or_dash, short, span},
};
use medlarspur_lib::status::Explanation;

pub fn run(flags: &Explain) -> Result<Code, CommandError> {
    let path = format!("/explain?flow={}", flags.flow);
    let found: Explanation = Client::new().json(flags.instance, &path)?;
    if flags.json {
        output::json(&found)?;
        return Ok(Code::Done);
    }
    print(&found);
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
