//! HTTP client of the administration API.

use std::time::Duration;

use admin::api::ErrorResponse;
use reqwest::{Client, Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{OptionExt as _, ResultExt as _, Snafu};

use crate::cli::ApiArguments;

/// Timeout of a request. The response to a change comes only after its rollout.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Exit code after the API rejected a request.
const REJECTED_EXIT_CODE: u8 = 3;
/// Exit code after the API found a conflict, such as another revision than the expected one.
const CONFLICT_EXIT_CODE: u8 = 4;

/// Error of a request.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// No operator token was given.
    #[snafu(display("no operator token given; set --token or HIBISCUS_OPERATOR_TOKEN"))]
    MissingToken,
    /// The API sent no valid response; the request may have taken effect.
    #[snafu(display(
        "no response from {url}: {source}; to retry a change, repeat it with the same --request"
    ))]
    NoResponse {
        /// URL of the request.
        url: String,
        /// Cause reported by the HTTP client.
        source: reqwest::Error,
    },
    /// The API rejected the request.
    #[snafu(display("{}", format_error(response)))]
    Rejected {
        /// Status of the response.
        status: StatusCode,
        /// Body of the response.
        response: Box<ErrorResponse>,
    },
}

impl ClientError {
    /// Returns the exit code for the error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Rejected { status, .. } if *status == StatusCode::CONFLICT => CONFLICT_EXIT_CODE,
            Self::Rejected { .. } => REJECTED_EXIT_CODE,
            Self::MissingToken | Self::NoResponse { .. } => 1,
        }
    }
}

fn format_error(response: &ErrorResponse) -> String {
    let mut text = format!("{}: {}", response.error, response.detail);
    if let Some(head) = &response.head {
        text += &format!("\nin force: revision {} by {}", head.revision, head.operator);
    }
    if !response.changes.is_empty() {
        text += "\nchanges from the document in force to yours:\n";
        text += crate::output::format_changes(&response.changes).trim_end();
    }
    text
}

/// Client of the administration API.
pub struct AdminClient {
    base_url: String,
    token: String,
    client: Client,
}

impl AdminClient {
    /// Creates a client. Fails without an operator token.
    pub fn new(arguments: &ApiArguments) -> Result<Self, ClientError> {
        let token = arguments.token.clone().context(MissingTokenSnafu)?;
        let client = Client::builder().timeout(REQUEST_TIMEOUT).build();
        let client = client.context(NoResponseSnafu { url: arguments.admin.clone() })?;
        Ok(Self { base_url: arguments.admin.trim_end_matches('/').to_owned(), token, client })
    }

    /// Sends a GET request to `path` and decodes the response.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.send(Method::GET, path, None::<&()>).await
    }

    /// Sends `body` in a POST request to `path` and decodes the response.
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
        let url = format!("{}{path}", self.base_url);
        let mut request = self.client.request(method, &url).bearer_auth(&self.token);
        if let Some(body) = body {
            request = request.json(body);
        }
        let no_response = NoResponseSnafu { url: url.clone() };
        let response = request.send().await.context(no_response.clone())?;
        let status = response.status();
        if status.is_success() {
            return response.json().await.context(no_response);
        }
        let text = response.text().await.unwrap_or_default();
        let error_response = serde_json::from_str(&text).unwrap_or_else(|_| ErrorResponse {
            error: status.to_string(),
            detail: text,
            head: None,
            changes: Vec::new(),
        });
        RejectedSnafu { status, response: Box::new(error_response) }.fail()
    }
}
