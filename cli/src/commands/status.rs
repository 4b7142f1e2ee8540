//! `status`: shows the state of one or more instances.

use crate::{
    client::Client,
    error::{Code, CommandError, NoInstanceSnafu},
    flags,
    output::{self, Table, format_duration, or_dash, short_digest},
};
use medlarspur_lib::{
    collections::Set,
    members::MemberState,
    status::{MarkedStatus, Status, Unready},
};
use serde::{Deserialize, Serialize};
use snafu::ensure;
use std::net::SocketAddr;

/// Result of the request to one address.
#[derive(Serialize)]
struct Answer {
    address: SocketAddr,
    status: Option<InstanceStatus>,
    error: Option<String>,
}

/// Status of an instance. It differs between sites that map flows by bucket tables and sites
/// whose fabric returns marks.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum InstanceStatus {
    Table(Box<Status>),
    Marks(Box<MarkedStatus>),
}

pub fn run(flags: &flags::Status) -> Result<Code, CommandError> {
    ensure!(!flags.addresses.is_empty(), NoInstanceSnafu);
    let client = Client::new();
    if let [address] = flags.addresses[..] {
        // If the only instance doesn't answer, the command fails and prints the causes. One of
        // several is a row of the table instead.
        client.get_text(address, "/healthz")?;
    }
    let query = |address: &SocketAddr| query(&client, *address);
    let answers: Vec<Answer> = flags.addresses.iter().map(query).collect();
    if flags.json {
        output::print_json(&answers)?;
        return Ok(exit_code(&answers));
    }
    print(&answers);
    Ok(exit_code(&answers))
}

fn query(client: &Client, address: SocketAddr) -> Answer {
    match client.get_json(address, "/status") {
        Ok(status) => Answer { address, status: Some(status), error: None },
        Err(error) => Answer { address, status: None, error: Some(error.to_string()) },
    }
}

fn exit_code(answers: &[Answer]) -> Code {
    if answers.iter().any(|answer| answer.status.is_none()) {
        return Code::Instance;
    }
    let unready = table_statuses(answers).any(|status| status.unready.is_some())
        || marked_statuses(answers).any(|status| !status.ready);
    let differ = count_bundles(answers) > 1 || count_configs(answers) > 1;
    if unready || differ { Code::No } else { Code::Done }
}

/// Returns the statuses of instances with bucket tables.
fn table_statuses(answers: &[Answer]) -> impl Iterator<Item = &Status> {
    answers.iter().filter_map(|answer| match &answer.status {
        Some(InstanceStatus::Table(status)) => Some(&**status),
        _ => None,
    })
}

/// Returns the statuses of instances at sites whose fabric returns marks.
fn marked_statuses(answers: &[Answer]) -> impl Iterator<Item = &MarkedStatus> {
    answers.iter().filter_map(|answer| match &answer.status {
        Some(InstanceStatus::Marks(status)) => Some(&**status),
        _ => None,
    })
}

/// Returns the number of different versions of the config in force.
fn count_configs(answers: &[Answer]) -> usize {
    marked_statuses(answers).map(|status| status.picture.version).collect::<Set<_>>().len()
}

/// Returns the number of different bundles in force.
fn count_bundles(answers: &[Answer]) -> usize {
    let digest = |status: &Status| status.bundle.as_ref().map(|bundle| bundle.digest.clone());
    table_statuses(answers).map(digest).collect::<Set<_>>().len()
}

fn print(answers: &[Answer]) {
    if table_statuses(answers).next().is_some() || marked_statuses(answers).next().is_none() {
        print_instances(answers);
    }
    print_marked(answers);
    if count_configs(answers) > 1 {
        output::print_line("! the instances do not have the same config in force");
    }
    if count_bundles(answers) > 1 {
        output::print_line("! the instances do not have the same bundle in force");
    }
    for status in table_statuses(answers) {
        print_warnings(status);
    }
    for answer in answers {
        if let Some(error) = &answer.error {
            output::print_line(&format!("! {error}"));
        }
    }
    if let ([_], Some(status)) = (answers, table_statuses(answers).next()) {
        print_members(status);
        print_services(status);
    }
    if let ([_], Some(status)) = (answers, marked_statuses(answers).next()) {
        output::print_catalog(&status.picture);
        for service in &status.services {
            let (name, pressure, waiting) = (&service.name, service.pressure, service.waiting);
            let levels = describe_levels(&service.waiting_by_level);
            output::print_line("");
            output::print_line(&format!(
                "{name}: answers take {pressure} % of their goals, {waiting} flows wait{levels}"
            ));
            output::target_table("TARGET", &service.targets).print();
            output::print_excluded(&service.targets);
        }
    }
}

/// Returns the numbers of waiting flows by level, in parentheses; empty if none waits.
fn describe_levels(waiting: &[u64]) -> String {
    let waiting = waiting.iter().enumerate().filter(|(_, count)| **count > 0);
    let levels: Vec<_> = waiting.map(|(rank, count)| format!("{count} of level {rank}")).collect();
    if levels.is_empty() { String::new() } else { format!(" ({})", levels.join(", ")) }
}

fn print_marked(answers: &[Answer]) {
    let mut table = Table::new(&[
        "INSTANCE", "ADDRESS", "DOMAIN", "READY", "READS", "UPTIME", "CONFIG", "REVISION", "AGE",
        "FLOWS", "MEMBERS",
    ]);
    for answer in answers {
        let Some(InstanceStatus::Marks(status)) = &answer.status else { continue };
        let yes_no = |is: bool| if is { "yes" } else { "no" }.to_owned();
        table.add_row(vec![
            status.name.to_string(),
            answer.address.to_string(),
            status.domain.to_string(),
            yes_no(status.ready),
            yes_no(status.reading),
            format_duration(status.uptime.0),
            or_dash(status.picture.version),
            output::format_revision(&status.picture),
            or_dash(status.picture.age.map(|age| format_duration(age.0))),
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
        let Some(InstanceStatus::Table(status)) = &answer.status else {
            let mut row = vec!["?".to_owned(), address];
            row.resize(10, "-".to_owned());
            table.add_row(row);
            continue;
        };
        let bundle = status.bundle.as_ref();
        let live = status.members.iter().filter(|member| member.state == MemberState::Live);
        let moving: u64 = status.services.iter().map(|service| u64::from(service.moving)).sum();
        table.add_row(vec![
            status.name.to_string(),
            address,
            status.domain.to_string(),
            status.life.to_string(),
            format_duration(status.uptime.0),
            or_dash(bundle.map(|bundle| bundle.version)),
            or_dash(bundle.map(|bundle| short_digest(&bundle.digest))),
            status.flows.to_string(),
            format!("{}/{}", live.count(), status.members.len()),
            moving.to_string(),
        ]);
    }
    table.print();
}

fn print_warnings(status: &Status) {
    let name = &status.name;
    if let Some(unready) = status.unready {
        output::print_line(&format!("! {name} is not ready: {unready}"));
    }
    if status.bundle.as_ref().is_some_and(|bundle| bundle.conflict) {
        output::print_line(&format!("! {name} saw two contents under one version"));
    }
    if status.unready == Some(Unready::NoBundle) {
        output::print_line(
            "  publish a signed bundle, or check `platform:` and `peers:` of its settings",
        );
    }
}

fn print_members(status: &Status) {
    let mut table = Table::new(&["MEMBER", "DOMAIN", "STATE", "BUNDLE"]);
    for member in &status.members {
        table.add_row(vec![
            member.name.to_string(),
            member.domain.to_string(),
            member.state.to_string(),
            member.version.to_string(),
        ]);
    }
    if !status.members.is_empty() {
        output::print_line("");
    }
    table.print();
}

fn print_services(status: &Status) {
    for service in &status.services {
        let (buckets, moving) = (service.buckets, service.moving);
        output::print_line("");
        output::print_line(&format!(
            "{}: {} flows, {buckets} buckets, {moving} of them moving",
            service.name, service.flows
        ));
        if let Some(plan) = &service.plan {
            let (sequence, author) = (plan.sequence, &plan.author);
            output::print_line(&format!("  plan {sequence} by {author}, {} moves", plan.moves));
        }
        let mut table =
            Table::new(&["  TARGET", "DOMAIN", "STATE", "NEW FLOWS", "FLOWS", "BUCKETS"]);
        for target in &service.targets {
            table.add_row(vec![
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
