//! `status`: the state of one instance or of many.

use crate::{
    client::Client,
    error::{Code, CommandError, NoInstanceSnafu},
    flags,
    output::{self, Table, or_dash, short, span},
};
use medlarspur_lib::{
    collections::Set,
    members::MemberState,
    status::{MarkedStatus, Status, Unready},
};
use serde::{Deserialize, Serialize};
use snafu::ensure;
use std::net::SocketAddr;

/// What came back from one address.
#[derive(Serialize)]
struct Answer {
    address: SocketAddr,
    status: Option<Found>,
    error: Option<String>,
}

/// What an instance says, by how its site agrees on flows.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum Found {
    Table(Box<Status>),
    Marks(Box<MarkedStatus>),
}

pub fn run(flags: &flags::Status) -> Result<Code, CommandError> {
    ensure!(!flags.addresses.is_empty(), NoInstanceSnafu);
    let client = Client::new();
    if let [address] = flags.addresses[..] {
        // A lone instance that does not answer is a failure with its causes;
        // among several it is one row of the table.
        client.text(address, "/healthz")?;
    }
    let ask = |address: &SocketAddr| ask(&client, *address);
    let answers: Vec<Answer> = flags.addresses.iter().map(ask).collect();
    if flags.json {
        output::json(&answers)?;
        return Ok(code(&answers));
    }
    print(&answers);
    Ok(code(&answers))
}

fn ask(client: &Client, address: SocketAddr) -> Answer {
    match client.json(address, "/status") {
        Ok(status) => Answer { address, status: Some(status), error: None },
        Err(error) => Answer { address, status: None, error: Some(error.to_string()) },
    }
}

fn code(answers: &[Answer]) -> Code {
    if answers.iter().any(|answer| answer.status.is_none()) {
        return Code::Instance;
    }
    let unready = found(answers).any(|status| status.unready.is_some())
        || marked(answers).any(|status| !status.ready);
    let differ = digests(answers) > 1 || versions(answers) > 1;
    if unready || differ { Code::No } else { Code::Done }
}

fn found(answers: &[Answer]) -> impl Iterator<Item = &Status> {
    answers.iter().filter_map(|answer| match &answer.status {
        Some(Found::Table(status)) => Some(&**status),
        _ => None,
    })
}

fn marked(answers: &[Answer]) -> impl Iterator<Item = &MarkedStatus> {
    answers.iter().filter_map(|answer| match &answer.status {
        Some(Found::Marks(status)) => Some(&**status),
        _ => None,
    })
}

fn versions(answers: &[Answer]) -> usize {
    marked(answers).map(|status| status.picture.version).collect::<Set<_>>().len()
}

fn digests(answers: &[Answer]) -> usize {
    let digest = |status: &Status| status.bundle.as_ref().map(|bundle| bundle.digest.clone());
    found(answers).map(digest).collect::<Set<_>>().len()
}

fn print(answers: &[Answer]) {
    if found(answers).next().is_some() || marked(answers).next().is_none() {
        print_instances(answers);
    }
    print_marked(answers);
    if versions(answers) > 1 {
        output::line("! the instances do not have the same config in force");
    }
    if digests(answers) > 1 {
        output::line("! the instances do not have the same bundle in force");
    }
    for status in found(answers) {
        print_remarks(status);
    }
    for answer in answers {
        if let Some(error) = &answer.error {
            output::line(&format!("! {error}"));
        }
    }
    if let ([_], Some(status)) = (answers, found(answers).next()) {
        print_members(status);
        print_services(status);
    }
    if let ([_], Some(status)) = (answers, marked(answers).next()) {
        output::picture(&status.picture);
        for service in &status.services {
            let (name, pressure, waiting) = (&service.name, service.pressure, service.waiting);
            output::line("");
            output::line(&format!(
                "{name}: answers take {pressure} % of their goals, {waiting} flows wait"
            ));
            output::targets("TARGET", &service.targets).print();
        }
    }
}

fn print_marked(answers: &[Answer]) {
    let mut table = Table::new(&[
        "INSTANCE", "ADDRESS", "DOMAIN", "READY", "READS", "UPTIME", "CONFIG", "REVISION", "AGE",
        "FLOWS", "MEMBERS",
    ]);
    for answer in answers {
        let Some(Found::Marks(status)) = &answer.status else { continue };
        let yes = |is: bool| if is { "yes" } else { "no" }.to_owned();
        table.row(vec![
            status.name.to_string(),
            answer.address.to_string(),
            status.domain.to_string(),
            yes(status.ready),
            yes(status.reading),
            span(status.uptime.0),
            or_dash(status.picture.version),
            output::revision(&status.picture),
            or_dash(status.picture.age.map(|age| span(age.0))),
            status.flows.to_string(),
            status.members.to_string(),
        ]);
    }
    table.print();
}

fn print_instances(answers: &[Answer]) {
    let mut table = Table::new(&[
        "INSTANCE", "ADDRESS", "DOMAIN", "LIFE", "UPTIME", "BUNDLE", "DIGEST", "FLOWS", "LIVE",
        "MOVING",
    ]);
    for answer in answers {
        let address = answer.address.to_string();
        let Some(Found::Table(status)) = &answer.status else {
            let mut row = vec!["?".to_owned(), address];
            row.resize(10, "-".to_owned());
            table.row(row);
            continue;
        };
        let bundle = status.bundle.as_ref();
        let live = status.members.iter().filter(|member| member.state == MemberState::Live);
        let moving: u64 = status.services.iter().map(|service| u64::from(service.moving)).sum();
        table.row(vec![
            status.name.to_string(),
            address,
            status.domain.to_string(),
            status.life.to_string(),
            span(status.uptime.0),
            or_dash(bundle.map(|bundle| bundle.version)),
            or_dash(bundle.map(|bundle| short(&bundle.digest))),
            status.flows.to_string(),
            format!("{}/{}", live.count(), status.members.len()),
            moving.to_string(),
        ]);
    }
    table.print();
}

fn print_remarks(status: &Status) {
    let name = &status.name;
    if let Some(unready) = status.unready {
        output::line(&format!("! {name} is not ready: {unready}"));
    }
    if status.bundle.as_ref().is_some_and(|bundle| bundle.conflict) {
        output::line(&format!("! {name} saw two contents under one version"));
    }
    if status.unready == Some(Unready::NoBundle) {
        output::line(
            "  publish a signed bundle, or check `platform:` and `peers:` of its settings",
        );
    }
}

fn print_members(status: &Status) {
    let mut table = Table::new(&["MEMBER", "DOMAIN", "STATE", "BUNDLE"]);
    for member in &status.members {
        table.row(vec![
            member.name.to_string(),
            member.domain.to_string(),
            member.state.to_string(),
            member.version.to_string(),
        ]);
    }
    if !status.members.is_empty() {
        output::line("");
    }
    table.print();
}

fn print_services(status: &Status) {
    for service in &status.services {
        let (buckets, moving) = (service.buckets, service.moving);
        output::line("");
        output::line(&format!(
            "{}: {} flows, {buckets} buckets, {moving} of them moving",
            service.name, service.flows
        ));
        if let Some(plan) = &service.plan {
            let (sequence, author) = (plan.sequence, &plan.author);
            output::line(&format!("  plan {sequence} by {author}, {} moves", plan.moves));
        }
        let mut table =
            Table::new(&["  TARGET", "DOMAIN", "STATE", "NEW FLOWS", "FLOWS", "BUCKETS"]);
        for target in &service.targets {
            table.row(vec![
                format!("  {}", target.name),
                target.domain.to_string(),
                target.state.to_string(),
                if target.open { "yes" } else { "no" }.to_owned(),
                target.flows.to_string(),
                target.buckets.to_string(),
            ]);
        }
        table.print();
    }
}
