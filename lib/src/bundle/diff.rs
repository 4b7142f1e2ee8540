//! Differences between two bundles, for operators who review one before
//! signing.

use super::{Bundle, Limits, Service, Target};
use crate::{
    ids::{ServiceName, TargetName},
    time::HumanDuration,
};
use std::fmt;

value! {
    /// A difference between two bundles.
    #[derive(serde::Serialize)]
    pub struct Change {
        /// Service in which the difference is, if any.
        pub service: Option<ServiceName>,
        /// Target in which the difference is, if any.
        pub target: Option<TargetName>,
        /// Field that differs, or `None` if a whole service or target was added
        /// or removed.
        pub field: Option<&'static str>,
        /// Earlier value, or `None` if it was added.
        pub from: Option<String>,
        /// Later value, or `None` if it was removed.
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
    /// A difference that keeps instances from accepting the later bundle.
    #[derive(serde::Serialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum Obstacle {
        /// The version is not higher.
        Version,
        /// The site differs.
        Site,
        /// The seed differs.
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

/// Returns the reasons why instances with `old` in force don't accept `new`.
pub fn obstacles(old: &Bundle, new: &Bundle) -> Vec<Obstacle> {
    let all = [
        (Obstacle::Version, new.version <= old.version),
        (Obstacle::Site, new.site != old.site),
        (Obstacle::Seed, new.seed != old.seed),
    ];
    all.into_iter().filter(|(_, applies)| *applies).map(|(obstacle, _)| obstacle).collect()
}

/// Returns all differences from `old` to `new`, in the order of the services.
pub fn diff(old: &Bundle, new: &Bundle) -> Vec<Change> {
    let mut comparison = Comparison::default();
    comparison.compare("version", old.version, new.version);
    comparison.compare("site", &old.site, &new.site);
    comparison.compare("seed", old.seed, new.seed);
    comparison.compare("evacuated", domains(old), domains(new));
    comparison.compare_limits(&old.limits, &new.limits);
    for service in &old.services {
        match find_service(new, &service.name) {
            Some(later) => comparison.compare_service(service, later),
            None => comparison.push_removed(&service.name, None, summary(service)),
        }
    }
    for service in new.services.iter().filter(|service| find_service(old, &service.name).is_none())
    {
        comparison.push_added(&service.name, None, summary(service));
    }
    comparison.changes
}

fn find_service<'b>(bundle: &'b Bundle, name: &ServiceName) -> Option<&'b Service> {
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
struct Comparison {
    changes: Vec<Change>,
    service: Option<ServiceName>,
    target: Option<TargetName>,
}

impl Comparison {
    fn compare<T: PartialEq + fmt::Display>(&mut self, field: &'static str, old: T, new: T) {
        if old == new {
            return;
        }
        self.changes.push(Change {
            service: self.service.clone(),
            target: self.target.clone(),
            field: Some(field),
            from: Some(old.to_string()),
            to: Some(new.to_string()),
        });
    }

    fn push_removed(&mut self, service: &ServiceName, target: Option<&TargetName>, what: String) {
        self.push_whole(service, target, Some(what), None);
    }

    fn push_added(&mut self, service: &ServiceName, target: Option<&TargetName>, what: String) {
        self.push_whole(service, target, None, Some(what));
    }

    fn push_whole(
        &mut self,
        service: &ServiceName,
        target: Option<&TargetName>,
        from: Option<String>,
        to: Option<String>,
    ) {
        let (service, target) = (Some(service.clone()), target.cloned());
        self.changes.push(Change { service, target, field: None, from, to });
    }

    fn compare_limits(&mut self, old: &Limits, new: &Limits) {
        self.compare("limits.reserve", or_none(old.reserve), or_none(new.reserve));
        self.compare("limits.caller", or_none(old.caller), or_none(new.caller));
        self.compare("limits.network", or_none(old.network), or_none(new.network));
        self.compare("limits.booking", or_none(old.booking), or_none(new.booking));
        self.compare(
            "limits.patience",
            or_none(old.patience.map(HumanDuration)),
            or_none(new.patience.map(HumanDuration)),
        );
        self.compare("limits.retries", or_none(old.retries), or_none(new.retries));
    }

    fn compare_service(&mut self, old: &Service, new: &Service) {
        self.service = Some(old.name.clone());
        self.compare("ports", ports(old), ports(new));
        self.compare("buckets", old.buckets, new.buckets);
        self.compare("keepalive", HumanDuration(old.keepalive), HumanDuration(new.keepalive));
        self.compare("refusal", refusal(old), refusal(new));
        self.compare("balance", old.balance, new.balance);
        for target in &old.targets {
            match new.targets.iter().find(|other| other.name == target.name) {
                Some(later) => self.compare_target(target, later),
                None => {
                    self.push_removed(&old.name, Some(&target.name), target.address.to_string())
                }
            }
        }
        let known = |target: &&Target| old.targets.iter().all(|other| other.name != target.name);
        for target in new.targets.iter().filter(known) {
            self.push_added(&new.name, Some(&target.name), target.address.to_string());
        }
        self.service = None;
    }

    fn compare_target(&mut self, old: &Target, new: &Target) {
        self.target = Some(old.name.clone());
        self.compare("address", old.address, new.address);
        self.compare("domain", &old.domain, &new.domain);
        self.compare("weight", old.weight, new.weight);
        self.compare("slots", old.slots, new.slots);
        self.compare("connections", old.connections, new.connections);
        self.compare("state", old.state, new.state);
        self.compare("probe", or_none(old.probe), or_none(new.probe));
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

fn or_none<T: fmt::Display>(value: Option<T>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| value.to_string())
}
