//! Platform services: interfaces and their HTTP client.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use metrics::counter;
use reqwest::{Client, Response, StatusCode};
use snafu::{ResultExt as _, Snafu};
use telemetry::meter;
use wire::platform::{InstanceRecord, TableRow, TableTransaction, TransactionReply};

/// Future of an interface's operation.
pub type PlatformFuture<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send + 'a>>;

/// Errors of the platform's services.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The operation did not take effect.
    #[snafu(display("the platform's service is down"))]
    Unavailable,
    /// The operation may have taken effect.
    #[snafu(display("no answer from the platform's service: {source}"))]
    OutcomeUnknown {
        /// Cause reported by the HTTP client.
        source: reqwest::Error,
    },
    /// The service answered with an unexpected status.
    #[snafu(display("the platform's service answered {status}"))]
    Status {
        /// Status of the answer.
        status: StatusCode,
    },
}

/// Transactional table service.
pub trait TableService: Send + Sync {
    /// Runs a transaction.
    fn transact(&self, transaction: TableTransaction) -> PlatformFuture<'_, TransactionReply>;
    /// Reads one row.
    fn row(&self, key: String) -> PlatformFuture<'_, Option<TableRow>>;
    /// Reads the rows whose key starts with a prefix.
    fn scan(&self, prefix: String) -> PlatformFuture<'_, Vec<TableRow>>;
}

/// Object store.
pub trait ObjectStore: Send + Sync {
    /// Writes an object.
    fn put(&self, name: String, bytes: Vec<u8>) -> PlatformFuture<'_, ()>;
    /// Reads an object.
    fn get(&self, name: String) -> PlatformFuture<'_, Option<Vec<u8>>>;
}

/// Lagging list of instances.
pub trait InstanceList: Send + Sync {
    /// Reads the list.
    fn instances(&self) -> PlatformFuture<'_, Vec<InstanceRecord>>;
}

/// Client of the platform's services over HTTP.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    base_url: String,
    client: Client,
}

impl PlatformClient {
    /// Creates a client for the services at `base`, such as `http://127.0.0.1:7000`.
    pub fn new(base_url: impl Into<String>, timeout: Duration) -> Result<Self, PlatformError> {
        let client = Client::builder().timeout(timeout).build().context(OutcomeUnknownSnafu)?;
        Ok(Self { base_url: base_url.into(), client })
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base_url)
    }
}

fn record_operation(kind: &'static str, answered: bool) {
    let outcome = if answered { "answered" } else { "failed" };
    counter!(meter::PLATFORM_OPERATIONS, "kind" => kind, "outcome" => outcome).increment(1);
}

fn check_response(
    kind: &'static str,
    result: Result<Response, reqwest::Error>,
) -> Result<Response, PlatformError> {
    record_operation(kind, result.is_ok());
    let response = result.map_err(|source| {
        if source.is_connect() {
            PlatformError::Unavailable
        } else {
            PlatformError::OutcomeUnknown { source }
        }
    })?;
    match response.status() {
        status if status.is_success() => Ok(response),
        StatusCode::SERVICE_UNAVAILABLE => UnavailableSnafu.fail(),
        status => StatusSnafu { status }.fail(),
    }
}

impl TableService for PlatformClient {
    fn transact(&self, transaction: TableTransaction) -> PlatformFuture<'_, TransactionReply> {
        Box::pin(async move {
            let request = self.client.post(self.url("/table/transact")).json(&transaction);
            let response = check_response("transact", request.send().await)?;
            response.json().await.context(OutcomeUnknownSnafu)
        })
    }

    fn row(&self, key: String) -> PlatformFuture<'_, Option<TableRow>> {
        Box::pin(async move {
            let request = self.client.get(self.url("/table/row")).query(&[("key", key)]);
            let response = check_response("row", request.send().await)?;
            response.json().await.context(OutcomeUnknownSnafu)
        })
    }

    fn scan(&self, prefix: String) -> PlatformFuture<'_, Vec<TableRow>> {
        Box::pin(async move {
            let request = self.client.get(self.url("/table/scan")).query(&[("key", prefix)]);
            let response = check_response("scan", request.send().await)?;
            response.json().await.context(OutcomeUnknownSnafu)
        })
    }
}

impl ObjectStore for PlatformClient {
    fn put(&self, name: String, bytes: Vec<u8>) -> PlatformFuture<'_, ()> {
        Box::pin(async move {
            let request = self.client.put(self.url("/object")).query(&[("key", name)]).body(bytes);
            check_response("put", request.send().await).map(|_| ())
        })
    }

    fn get(&self, name: String) -> PlatformFuture<'_, Option<Vec<u8>>> {
        Box::pin(async move {
            let request = self.client.get(self.url("/object")).query(&[("key", name)]);
            let response = match check_response("get", request.send().await) {
                Err(PlatformError::Status { status: StatusCode::NOT_FOUND }) => return Ok(None),
                other => other?,
            };
            let bytes = response.bytes().await.context(OutcomeUnknownSnafu)?;
            Ok(Some(bytes.to_vec()))
        })
    }
}

impl InstanceList for PlatformClient {
    fn instances(&self) -> PlatformFuture<'_, Vec<InstanceRecord>> {
        Box::pin(async move {
            let request = self.client.get(self.url("/instances"));
            let response = check_response("instances", request.send().await)?;
            response.json().await.context(OutcomeUnknownSnafu)
        })
    }
}
