//! Asks an instance by HTTP.

use crate::error::{CommandError, InvalidAnswerSnafu, NoAnswerSnafu, RejectedSnafu};
use serde::{Deserialize, de::DeserializeOwned};
use snafu::ResultExt;
use std::{net::SocketAddr, time::Duration};
use ureq::Agent;

/// How long an instance may take; it answers in milliseconds or not at all.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The longest answer, in bytes: ten thousand flows, or the metrics of the
/// target size.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;
/// What a refusal is cut to, in characters.
const MAX_DETAIL_CHARS: usize = 300;

/// A client for any number of instances.
pub struct Client {
    agent: Agent,
}

impl Client {
    /// A client that takes no proxy from the environment, since an instance is
    /// asked itself or not at all.
    pub fn new() -> Client {
        let config = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .proxy(None)
            .build();
        Client { agent: config.into() }
    }

    /// The JSON value at `path`.
    pub fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, CommandError> {
        let text = self.get_text(address, path)?;
        serde_json::from_str(&text).context(InvalidAnswerSnafu { address })
    }

    /// The text at `path`.
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

/// What an instance says is wrong, or all that another program says.
fn error_detail(text: &str) -> String {
    #[derive(Deserialize)]
    struct ErrorBody {
        error: String,
    }
    let body = serde_json::from_str::<ErrorBody>(text);
    body.map_or_else(|_| text.trim().to_owned(), |body| body.error)
}
