//! Client of the read-only inspection of an instance.

use std::time::Duration;

use reqwest::{Client, StatusCode};
use serde::Serialize;
use serde_json::Value;
use snafu::{ResultExt as _, Snafu};

/// Timeout of a request; the instance answers from memory.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Error of an inspection.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum InspectionError {
    /// The instance sent no response.
    #[snafu(display("cannot reach instance {instance}: {source}"))]
    Unreachable {
        /// Base URL of the instance.
        instance: String,
        /// Cause reported by the HTTP client.
        source: reqwest::Error,
    },
    /// The instance cannot answer the request.
    #[snafu(display("instance {instance} answered {status}: {reason}"))]
    Rejected {
        /// Base URL of the instance.
        instance: String,
        /// Status of the response.
        status: StatusCode,
        /// Cause stated by the instance.
        reason: String,
    },
    /// The response cannot be decoded.
    #[snafu(display("instance {instance} sent a malformed response: {source}"))]
    Malformed {
        /// Base URL of the instance.
        instance: String,
        /// Cause reported by the decoder.
        source: serde_json::Error,
    },
}

/// Client of one instance.
#[derive(Debug)]
pub struct InspectionClient {
    client: Client,
    instance: String,
}

impl InspectionClient {
    /// Creates a client for the base URL of an instance's metrics port.
    pub fn new(instance: &str) -> Result<Self, InspectionError> {
        let instance = instance.trim_end_matches('/').to_owned();
        let client = Client::builder().timeout(REQUEST_TIMEOUT).build();
        let client = client.context(UnreachableSnafu { instance: &instance })?;
        Ok(Self { client, instance })
    }

    /// Returns the base URL of the instance.
    pub fn instance(&self) -> &str {
        &self.instance
    }

    /// Returns the body of the response to a request for a path.
    pub async fn fetch(
        &self,
        path: &str,
        query: &impl Serialize,
    ) -> Result<String, InspectionError> {
        let unreachable = UnreachableSnafu { instance: &self.instance };
        let request = self.client.get(format!("{}{path}", self.instance)).query(query);
        let response = request.send().await.context(unreachable)?;
        let status = response.status();
        let text = response.text().await.context(unreachable)?;
        if !status.is_success() {
            let body: Value = serde_json::from_str(&text).unwrap_or_default();
            let reason = body["error"].as_str().unwrap_or("no cause stated");
            return RejectedSnafu { instance: &self.instance, status, reason }.fail();
        }
        Ok(text)
    }
}
