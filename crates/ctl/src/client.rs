//! Requests to the administration API.

use std::time::Duration;

use admin::api::ErrorResponse;
use reqwest::{Client, Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{OptionExt as _, ResultExt as _, Snafu};

use crate::cli::TargetArguments;

/// Time that a request may take; an apply waits until the document is in force.
const REQUEST_LIMIT: Duration = Duration::from_secs(20);
/// Exit status after a refusal by the API.
const REFUSED_STATUS: u8 = 3;
/// Exit status after a lost race.
const CONFLICT_STATUS: u8 = 4;

/// Errors of a request.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// No token was given.
    #[snafu(display("an operator's token is required: --token or HIBISCUS_OPERATOR_TOKEN"))]
    MissingToken,
    /// The API did not answer; the request may have taken effect.
    #[snafu(display("no answer from {url}: {source}; repeat it with the same --request"))]
    Unanswered {
        /// Address that was asked.
        url: String,
        /// Cause reported by the HTTP client.
        source: reqwest::Error,
    },
    /// The API refused.
    #[snafu(display("{}", describe(reply)))]
    Refused {
        /// Status of the answer.
        status: StatusCode,
        /// Explanation.
        reply: Box<ErrorResponse>,
    },
}

impl ClientError {
    /// Returns the exit status for the error.
    pub fn status(&self) -> u8 {
        match self {
            Self::Refused { status, .. } if *status == StatusCode::CONFLICT => CONFLICT_STATUS,
            Self::Refused { .. } => REFUSED_STATUS,
            Self::MissingToken | Self::Unanswered { .. } => 1,
        }
    }
}

fn describe(reply: &ErrorResponse) -> String {
    let mut text = format!("{}: {}", reply.error, reply.detail);
    if let Some(head) = &reply.head {
        text += &format!("\nin force: revision {} by {}", head.revision, head.operator);
    }
    if !reply.changes.is_empty() {
        text += "\nyour document against the one in force:\n";
        text += crate::show::changes(&reply.changes).trim_end();
    }
    text
}

/// Client of the administration API.
pub struct AdminClient {
    base: String,
    token: String,
    client: Client,
}

impl AdminClient {
    /// Creates a client.
    pub fn new(target: &TargetArguments) -> Result<Self, ClientError> {
        let token = target.token.clone().context(MissingTokenSnafu)?;
        let client = Client::builder().timeout(REQUEST_LIMIT).build();
        let client = client.context(UnansweredSnafu { url: target.admin.clone() })?;
        Ok(Self { base: target.admin.trim_end_matches('/').to_owned(), token, client })
    }

    /// Reads from a path.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.send(Method::GET, path, None::<&()>).await
    }

    /// Sends a body to a path.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, ClientError> {
        self.send(Method::POST, path, Some(body)).await
    }

    async fn send<B: Serialize, T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&B>,
    ) -> Result<T, ClientError> {
        let url = format!("{}{path}", self.base);
        let mut request = self.client.request(method, &url).bearer_auth(&self.token);
        if let Some(body) = body {
            request = request.json(body);
        }
        let context = UnansweredSnafu { url: url.clone() };
        let response = request.send().await.context(context.clone())?;
        let status = response.status();
        if status.is_success() {
            return response.json().await.context(context);
        }
        let text = response.text().await.unwrap_or_default();
        let reply = serde_json::from_str(&text).unwrap_or_else(|_| ErrorResponse {
            error: status.to_string(),
            detail: text,
            head: None,
            changes: Vec::new(),
        });
        RefusedSnafu { status, reply: Box::new(reply) }.fail()
    }
}
