//! Probes over HTTP.

use crate::{Answer, Outcome, Probe};
use serde::Deserialize;
use std::{
    io::ErrorKind,
    net::SocketAddrV4,
    time::{Duration, Instant},
};
use ureq::{Agent, Error, config::Config};

/// Timeout of one call. Targets answer in milliseconds. One that needs a second is treated as
/// unreachable, so that it doesn't block a worker any longer.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a load report, in bytes.
const MAX_REPORT_SIZE: u64 = 4096;

/// Load that a target reports at `/load`, as JSON. Unknown fields are ignored. The report lags and
/// may be wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct LoadReport {
    /// Pieces of work that run in a slot or wait for one.
    pub slots: u32,
    /// Open connections.
    pub connections: u32,
    /// Whether the target is draining and accepts no new work.
    #[serde(default)]
    pub draining: bool,
}

/// Probes targets over HTTP at their IP addresses.
#[derive(Debug)]
pub struct Http {
    agent: Agent,
}

impl Http {
    /// Creates the HTTP client. It omits headers that targets don't need, which would be half of
    /// the traffic.
    pub fn new() -> Self {
        let config = Config::builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .user_agent("")
            .accept("")
            .accept_encoding("")
            .timeout_global(Some(TIMEOUT))
            .build();
        Self { agent: config.new_agent() }
    }

    fn probe_health(&self, address: SocketAddrV4) -> Outcome {
        match self.agent.get(format!("http://{address}/health")).call() {
            Ok(response) if response.status().as_u16() == 200 => Outcome::Healthy,
            Ok(_) => Outcome::Unhealthy,
            Err(Error::Io(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                Outcome::Refused
            }
            Err(_) => Outcome::Unreachable,
        }
    }

    fn fetch_load(&self, address: SocketAddrV4) -> Option<LoadReport> {
        let response = self.agent.get(format!("http://{address}/load")).call().ok()?;
        let body = response.into_body().into_with_config().limit(MAX_REPORT_SIZE);
        serde_json::from_slice(&body.read_to_vec().ok()?).ok()
    }
}

impl Default for Http {
    fn default() -> Self {
        Self::new()
    }
}

impl Probe for Http {
    fn probe(&self, address: SocketAddrV4) -> Answer {
        let start = Instant::now();
        let outcome = self.probe_health(address);
        let elapsed = start.elapsed();
        let has_answered = matches!(outcome, Outcome::Healthy | Outcome::Unhealthy);
        let report = if has_answered { self.fetch_load(address) } else { None };
        Answer { outcome, report, elapsed }
    }
}
