//! Asks an instance by HTTP.

use crate::error::{AnswerSnafu, CommandError, RejectedSnafu, SilentSnafu};
use serde::{Deserialize, de::DeserializeOwned};
use snafu::ResultExt;
use std::{net::SocketAddr, time::Duration};
use ureq::Agent;

/// How long an instance may take; it answers in milliseconds or not at all.
const LIMIT: Duration = Duration::from_secs(5);
/// The longest answer, in bytes: ten thousand flows, or the metrics of the
/// target size.
const MAX_ANSWER: u64 = 64 << 20;
/// What a refusal is cut to, in characters.
const MAX_DETAIL: usize = 300;

/// A client for any number of instances.
pub struct Client {
    agent: Agent,
}

impl Client {
    /// A client that takes no proxy from the environment, since an instance is
    /// asked itself or not at all.
    pub fn new() -> Client {
        let config = Agent::config_builder()
            .timeout_global(Some(LIMIT))
            .http_status_as_error(false)
            .proxy(None)
            .build();
        Client { agent: config.into() }
    }

    /// The JSON value at `path`.
    pub fn json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, CommandError> {
        let text = self.text(address, path)?;
        serde_json::from_str(&text).context(AnswerSnafu { address })
    }

    /// The text at `path`.
    pub fn text(&self, address: SocketAddr, path: &str) -> Result<String, CommandError> {
        let url = format!("http://{address}{path}");
        let mut answer = self.agent.get(url).call().context(SilentSnafu { address })?;
        let body = answer.body_mut().with_config().limit(MAX_ANSWER).read_to_string();
        let text = body.context(SilentSnafu { address })?;
        let code = answer.status();
        if !code.is_success() {
            let detail: String = detail(&text).chars().take(MAX_DETAIL).collect();
            return RejectedSnafu { address, code: code.as_u16(), detail }.fail();
        }
        Ok(text)
    }
}

/// What an instance says is wrong, or all that another program says.
fn detail(text: &str) -> String {
    #[derive(Deserialize)]
    struct Wrong {
        error: String,
    }
    let wrong = serde_json::from_str::<Wrong>(text);
    wrong.map_or_else(|_| text.trim().to_owned(), |wrong| wrong.error)
}
