//! Interfaces of the platform services and their HTTP client.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use metrics::counter;
use reqwest::{Client, Response, StatusCode};
use snafu::{ResultExt as _, Snafu};
use telemetry::meter;
use wire::platform::{InstanceRecord, TableRow, TableTransaction, TransactionReply};

/// Boxed future of a platform operation.
pub type PlatformFuture<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send + 'a>>;

/// Error of a platform operation.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The service is unavailable and the operation did not take effect.
    #[snafu(display("platform service unavailable"))]
    Unavailable,
    /// No valid response arrived, so the operation may have taken effect.
    #[snafu(display("no response from platform service: {source}"))]
    OutcomeUnknown {
        /// Error of the HTTP client.
        source: reqwest::Error,
    },
    /// The service responded with an unexpected status.
    #[snafu(display("unexpected status {status} from platform service"))]
    Status {
        /// HTTP status of the response.
        status: StatusCode,
    },
}

/// Transactional table service.
pub trait TableService: Send + Sync {
    /// Runs a transaction.
    fn transact(&self, transaction: TableTransaction) -> PlatformFuture<'_, TransactionReply>;
    /// Reads one row.
    fn row(&self, key: String) -> PlatformFuture<'_, Option<TableRow>>;
    /// Reads all rows whose keys start with a prefix.
    fn scan(&self, prefix: String) -> PlatformFuture<'_, Vec<TableRow>>;
}

/// Object store.
pub trait ObjectStore: Send + Sync {
    /// Writes an object.
    fn put(&self, name: String, bytes: Vec<u8>) -> PlatformFuture<'_, ()>;
    /// Reads an object.
    fn get(&self, name: String) -> PlatformFuture<'_, Option<Vec<u8>>>;
}

/// List of instances, which may lag behind the actual state.
pub trait InstanceList: Send + Sync {
    /// Reads the list.
    fn instances(&self) -> PlatformFuture<'_, Vec<InstanceRecord>>;
}

/// HTTP client of the platform services.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    base_url: String,
    client: Client,
}

impl PlatformClient {
    /// Creates a client for the services at `base_url`, such as `http://127.0.0.1:7000`.
    ///
    /// `timeout` bounds connecting and the time without a byte of a response, so that long responses
    /// arrive over slow links.
    pub fn new(base_url: impl Into<String>, timeout: Duration) -> Result<Self, PlatformError> {
        let client = Client::builder()
            .connect_timeout(timeout)
            .read_timeout(timeout)
            .build()
            .context(OutcomeUnknownSnafu)?;
        Ok(Self { base_url: base_url.into(), client })
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base_url)
    }
}

/// Counts an operation; any HTTP response, also one with an error status, counts as answered.
fn record_operation(kind: &'static str, responded: bool) {
    let outcome = if responded { "answered" } else { "failed" };
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
