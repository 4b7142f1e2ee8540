//! What differs between two bundles, for people who sign one off.

use super::{Bundle, Limits, Service, Target};
use crate::{
    ids::{ServiceName, TargetName},
    time::HumanDuration,
};
use std::fmt;

value! {
    /// One difference.
    #[derive(serde::Serialize)]
    pub struct Change {
        /// The service that it is in, if any.
        pub service: Option<ServiceName>,
        /// The target that it is in, if any.
        pub target: Option<TargetName>,
        /// The field that differs, none if the whole came or went.
        pub field: Option<&'static str>,
        /// The earlier value, none if there was none.
        pub from: Option<String>,
        /// The later value, none if there is none.
        pub to: Option<String>,
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match (&self.from, &self.to) {
            (None, _) => '+',
            (_, None) => '-',
            _ => '~',
        };
        write!(f, "{sign}")?;
        if let Some(service) = &self.service {
            write!(f, " {service}")?;
        }
        if let Some(target) = &self.target {
            write!(f, " {target}")?;
        }
        if let Some(field) = self.field {
            write!(f, " {field}:")?;
        }
        match (&self.from, &self.to) {
            (Some(from), Some(to)) => write!(f, " {from} -> {to}"),
            (Some(value), None) | (None, Some(value)) => write!(f, " ({value})"),
            (None, None) => Ok(()),
        }
    }
}

value! {
    /// A difference by which instances would not take the later bundle.
    #[derive(serde::Serialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum Obstacle {
        /// Its version is not the larger one.
        Version,
        /// It is for another site.
        Site,
        /// Its seed differs.
        Seed,
    }
}

impl fmt::Display for Obstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Obstacle::Version => "the version is not larger, so instances keep the earlier bundle",
            Obstacle::Site => "the site differs, so instances refuse the later bundle",
            Obstacle::Seed => "the seed differs, so instances refuse the later bundle",
        })
    }
}

/// Why instances with `old` in force would not take `new`.
pub fn obstacles(old: &Bundle, new: &Bundle) -> Vec<Obstacle> {
    let all = [
        (Obstacle::Version, new.version <= old.version),
        (Obstacle::Site, new.site != old.site),
        (Obstacle::Seed, new.seed != old.seed),
    ];
    all.into_iter().filter(|(_, holds)| *holds).map(|(obstacle, _)| obstacle).collect()
}

/// Every difference from `old` to `new`, in the order of the services.
pub fn diff(old: &Bundle, new: &Bundle) -> Vec<Change> {
    let mut changes = Changes::default();
    changes.field("version", old.version, new.version);
    changes.field("site", &old.site, &new.site);
    changes.field("seed", old.seed, new.seed);
    changes.field("evacuated", domains(old), domains(new));
    changes.limits(&old.limits, &new.limits);
    for service in &old.services {
        match find(new, &service.name) {
            Some(later) => changes.service(service, later),
            None => changes.gone(&service.name, None, summary(service)),
        }
    }
    for service in new.services.iter().filter(|service| find(old, &service.name).is_none()) {
        changes.came(&service.name, None, summary(service));
    }
    changes.found
}

fn find<'b>(bundle: &'b Bundle, name: &ServiceName) -> Option<&'b Service> {
    bundle.services.iter().map(|service| &**service).find(|service| service.name == *name)
}

fn summary(service: &Service) -> String {
    format!("{}, {} targets", ports(service), service.targets.len())
}

fn ports(service: &Service) -> String {
    let ports = service.ports.iter().map(|port| port.to_string());
    format!("{} {}", service.address, ports.collect::<Vec<_>>().join(" "))
}

#[derive(Default)]
struct Changes {
    found: Vec<Change>,
    service: Option<ServiceName>,
    target: Option<TargetName>,
}

impl Changes {
    fn field<T: PartialEq + fmt::Display>(&mut self, field: &'static str, old: T, new: T) {
        if old == new {
            return;
        }
        self.found.push(Change {
            service: self.service.clone(),
            target: self.target.clone(),
            field: Some(field),
            from: Some(old.to_string()),
            to: Some(new.to_string()),
        });
    }

    fn gone(&mut self, service: &ServiceName, target: Option<&TargetName>, what: String) {
        self.whole(service, target, Some(what), None);
    }

    fn came(&mut self, service: &ServiceName, target: Option<&TargetName>, what: String) {
        self.whole(service, target, None, Some(what));
    }

    fn whole(
        &mut self,
        service: &ServiceName,
        target: Option<&TargetName>,
        from: Option<String>,
        to: Option<String>,
    ) {
        let (service, target) = (Some(service.clone()), target.cloned());
        self.found.push(Change { service, target, field: None, from, to });
    }

    fn limits(&mut self, old: &Limits, new: &Limits) {
        self.field("limits.reserve", show(old.reserve), show(new.reserve));
        self.field("limits.caller", show(old.caller), show(new.caller));
        self.field("limits.network", show(old.network), show(new.network));
        self.field("limits.booking", show(old.booking), show(new.booking));
        self.field(
            "limits.patience",
            show(old.patience.map(HumanDuration)),
            show(new.patience.map(HumanDuration)),
        );
        self.field("limits.retries", show(old.retries), show(new.retries));
    }

    fn service(&mut self, old: &Service, new: &Service) {
        self.service = Some(old.name.clone());
        self.field("ports", ports(old), ports(new));
        self.field("buckets", old.buckets, new.buckets);
        self.field("keepalive", HumanDuration(old.keepalive), HumanDuration(new.keepalive));
        self.field("refusal", refusal(old), refusal(new));
        self.field("balance", old.balance, new.balance);
        for target in &old.targets {
            match new.targets.iter().find(|other| other.name == target.name) {
                Some(later) => self.target(target, later),
                None => self.gone(&old.name, Some(&target.name), target.address.to_string()),
            }
        }
        let known = |target: &&Target| old.targets.iter().all(|other| other.name != target.name);
        for target in new.targets.iter().filter(known) {
            self.came(&new.name, Some(&target.name), target.address.to_string());
        }
        self.service = None;
    }

    fn target(&mut self, old: &Target, new: &Target) {
        self.target = Some(old.name.clone());
        self.field("address", old.address, new.address);
        self.field("domain", &old.domain, &new.domain);
        self.field("weight", old.weight, new.weight);
        self.field("slots", old.slots, new.slots);
        self.field("connections", old.connections, new.connections);
        self.field("state", old.state, new.state);
        self.field("probe", show(old.probe), show(new.probe));
        self.target = None;
    }
}

fn domains(bundle: &Bundle) -> String {
    let names: Vec<String> = bundle.evacuated.iter().map(ToString::to_string).collect();
    if names.is_empty() { "none".to_owned() } else { names.join(" ") }
}

fn refusal(service: &Service) -> String {
    service.refusal.as_ref().map_or_else(|| "none".to_owned(), |text| format!("{text:?}"))
}

fn show<T: fmt::Display>(value: Option<T>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| value.to_string())
}
