//! `bundle show`: prints a bundle with its defaults filled in.

use super::read_bundle;
use crate::{
    error::{Code, CommandError},
    flags::Show,
    output::{self, Table, or_dash},
};
use medlarspur_lib::{
    bundle::{Bundle, Service},
    time::HumanDuration,
};

pub fn run(flags: &Show) -> Result<Code, CommandError> {
    let bundle = read_bundle(&flags.file)?;
    if flags.json {
        output::print_json(&bundle)?;
        return Ok(Code::Done);
    }
    print(&bundle);
    Ok(Code::Done)
}

fn print(bundle: &Bundle) {
    output::print_line(&format!("version {} for {}", bundle.version, bundle.site));
    output::print_line(&format!("seed {}", bundle.seed));
    let limits = &bundle.limits;
    output::print_line(&format!(
        "limits: reserve {}, caller {}, network {}, booking {}, patience {}, retries {}",
        or_dash(limits.reserve),
        or_dash(limits.caller),
        or_dash(limits.network),
        or_dash(limits.booking),
        or_dash(limits.patience.map(HumanDuration)),
        or_dash(limits.retries),
    ));
    if !bundle.evacuated.is_empty() {
        let domains: Vec<&str> = bundle.evacuated.iter().map(|domain| domain.as_str()).collect();
        output::print_line(&format!("evacuated: {}", domains.join(", ")));
    }
    for service in &bundle.services {
        print_service(service);
    }
}

fn print_service(service: &Service) {
    let ports: Vec<String> = service.ports.iter().map(|port| port.to_string()).collect();
    output::print_line("");
    output::print_line(&format!("{} at {}: {}", service.name, service.address, ports.join(", ")));
    output::print_line(&format!(
        "  {} buckets, keepalive {}, balance {}, refusal {}",
        service.buckets,
        HumanDuration(service.keepalive),
        service.balance,
        or_dash(service.refusal.as_ref().map(|text| format!("{text:?}"))),
    ));
    let heading = ["  TARGET", "ADDRESS", "DOMAIN", "STATE", "WEIGHT", "SLOTS", "CONNECTIONS"];
    let mut table = Table::new(&[&heading[..], &["PROBE"]].concat());
    for target in &service.targets {
        table.add_row(vec![
            format!("  {}", target.name),
            target.address.to_string(),
            target.domain.to_string(),
            target.state.to_string(),
            target.weight.to_string(),
            target.slots.to_string(),
            target.connections.to_string(),
            or_dash(target.probe),
        ]);
    }
    table.print();
}
