//! HTTP client for instances.

use crate::error::{CommandError, InvalidAnswerSnafu, NoAnswerSnafu, RejectedSnafu};
use serde::{Deserialize, de::DeserializeOwned};
use snafu::ResultExt;
use std::{net::SocketAddr, time::Duration};
use ureq::Agent;

/// Timeout of a request. An instance answers within milliseconds or not at all.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response, in bytes. Ten thousand flows fit, and the metrics of the largest
/// deployment that is designed for.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;
/// Maximum length of the detail of an error, in characters. Longer ones are truncated.
const MAX_DETAIL_CHARS: usize = 300;

/// A client for any number of instances.
pub struct Client {
    agent: Agent,
}

impl Client {
    /// Creates a client. It ignores proxies of the environment, since requests must reach the
    /// instance itself.
    pub fn new() -> Client {
        let config = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .proxy(None)
            .build();
        Client { agent: config.into() }
    }

    /// Requests `path` and parses the response as JSON.
    pub fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, CommandError> {
        let text = self.get_text(address, path)?;
        serde_json::from_str(&text).context(InvalidAnswerSnafu { address })
    }

    /// Requests `path` and returns the body of the response.
    pub fn get_text(&self, address: SocketAddr, path: &str) -> Result<String, CommandError> {
        let url = format!("http://{address}{path}");
        let mut response = self.agent.get(url).call().context(NoAnswerSnafu { address })?;
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_string();
        let text = body.context(NoAnswerSnafu { address })?;
        let code = response.status();
        if !code.is_success() {
            let detail: String = error_detail(&text).chars().take(MAX_DETAIL_CHARS).collect();
            return RejectedSnafu { address, code: code.as_u16(), detail }.fail();
        }
        Ok(text)
    }
}

/// Returns the error in an instance's response, or all of it if it comes from another program.
fn error_detail(text: &str) -> String {
    #[derive(Deserialize)]
    struct ErrorBody {
        error: String,
    }
    let body = serde_json::from_str::<ErrorBody>(text);
    body.map_or_else(|_| text.trim().to_owned(), |body| body.error)
}
