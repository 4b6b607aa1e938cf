//! HTTP routes, requests and responses of the administration API.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::{DefaultBodyLimit, Request, State};
use axum::http::{StatusCode, header};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Json, Response};
use axum::routing::{get, post};
use axum::{Extension, body::Body};
use net::platform::{InstanceList as _, PlatformClient, PlatformError};
use net::store::{DocumentHead, DocumentStore, ReplaceOutcome, StoreError};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu};
use state::document::{Document, MAX_DOCUMENT_BYTES};
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::net::TcpListener;

use crate::diff::{self, EntryChange};
use crate::instances::{self, InstanceView, RolloutReport};
use crate::settings::{AdminSettings, OperatorCredential};

/// Timeout of an operation on the platform's services.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);

/// Error of starting or serving the API.
#[derive(Debug, Snafu)]
pub enum AdminError {
    /// The listener cannot be bound or fails.
    #[snafu(display("cannot serve on {address}: {source}"))]
    Serve {
        /// Address to listen on.
        address: SocketAddr,
        /// Cause reported by the system.
        source: std::io::Error,
    },
    /// The client of the platform's services cannot be created.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// Cause reported by the client.
        source: PlatformError,
    },
}

/// Request to validate a document or to plan its application.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DocumentRequest {
    /// Text of the document in TOML.
    pub text: String,
}

/// Request to replace the document in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Revision that must be in force for the change to be accepted; zero for no document.
    #[serde(rename = "expected")]
    pub expected_revision: u64,
    /// Text of the document in TOML.
    pub text: String,
    /// Identifier that makes the request idempotent; a retry carries the same one.
    #[serde(rename = "request")]
    pub request_id: String,
}

/// Request to put a document into force that was in force in the source environment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PromoteRequest {
    /// Revision that must be in force for the change to be accepted; zero for no document.
    #[serde(rename = "expected")]
    pub expected_revision: u64,
    /// Digest of the document to promote.
    pub digest: String,
    /// Identifier that makes the request idempotent; a retry carries the same one.
    #[serde(rename = "request")]
    pub request_id: String,
}

/// Document in force with its head.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DocumentResponse {
    /// Head of the revision; `None` before the first document.
    pub head: Option<DocumentHead>,
    /// Text of the document in TOML.
    pub text: String,
}

/// Changes that a document would make.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlanResponse {
    /// Revision in force; zero before the first document.
    pub revision: u64,
    /// Changes from the document in force to the one in the request.
    pub changes: Vec<EntryChange>,
}

/// Response to an accepted change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyResponse {
    /// Head of the new revision.
    pub head: DocumentHead,
    /// Rollout of the revision to the instances.
    #[serde(rename = "force")]
    pub rollout: RolloutReport,
}

/// Body of an error response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Code of the error, for programs.
    pub error: String,
    /// Description of the error, for operators.
    pub detail: String,
    /// Head in force, if its revision is not the expected one.
    #[serde(default)]
    pub head: Option<DocumentHead>,
    /// Changes that the rejected document would make to the one in force.
    #[serde(default)]
    pub changes: Vec<EntryChange>,
}

/// State of an environment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusResponse {
    /// Name of the environment.
    pub environment: String,
    /// Head in force; `None` before the first document.
    pub head: Option<DocumentHead>,
    /// Instances that the platform lists, with their reports.
    pub instances: Vec<InstanceView>,
}

/// Name of the authenticated operator, attached to a request.
#[derive(Clone, Debug)]
struct OperatorName(String);

/// State shared by all request handlers.
pub struct AdminService {
    settings: AdminSettings,
    platform: PlatformClient,
}

type ServiceState = State<Arc<AdminService>>;

/// Error of a request, returned as an error response.
struct ApiError {
    status: StatusCode,
    body: Box<ErrorResponse>,
}

impl ApiError {
    fn new(status: StatusCode, code: &str, detail: impl ToString) -> Self {
        let body = ErrorResponse {
            error: code.to_owned(),
            detail: detail.to_string(),
            head: None,
            changes: Vec::new(),
        };
        Self { status, body: Box::new(body) }
    }
}

impl From<StoreError> for ApiError {
    fn from(error: StoreError) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, "store", error)
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        (self.status, Json(*self.body)).into_response()
    }
}

type ApiResult<T> = Result<Json<T>, ApiError>;

/// Binds the listener and serves the API until the future is dropped.
pub async fn serve(settings: AdminSettings) -> Result<(), AdminError> {
    let address = settings.listen;
    let listener = TcpListener::bind(address).await.context(ServeSnafu { address })?;
    serve_on(listener, settings).await
}

/// Serves the API on a bound listener until the future is dropped.
pub async fn serve_on(listener: TcpListener, settings: AdminSettings) -> Result<(), AdminError> {
    let address = settings.listen;
    let platform = PlatformClient::new(settings.platform.clone(), PLATFORM_TIMEOUT)?;
    let service = Arc::new(AdminService { settings, platform });
    axum::serve(listener, router(service)).await.context(ServeSnafu { address })
}

fn router(service: Arc<AdminService>) -> Router {
    Router::new()
        .route("/v1/document", get(read_document).post(apply_document))
        .route("/v1/validate", post(validate_document))
        .route("/v1/plan", post(plan_document))
        .route("/v1/promote", post(promote_document))
        .route("/v1/status", get(read_status))
        .layer(middleware::from_fn_with_state(service.clone(), authenticate))
        // Leaves room for JSON escapes in the text of the document.
        .layer(DefaultBodyLimit::max(2 * MAX_DOCUMENT_BYTES))
        .with_state(service)
}

async fn authenticate(
    State(service): ServiceState,
    mut request: Request<Body>,
    next: Next,
) -> Response {
    let header = request.headers().get(header::AUTHORIZATION);
    let token = header.and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    let has_token = |operator: &&OperatorCredential| {
        token.is_some_and(|token| operator.token_hash.matches(token))
    };
    let Some(operator) = service.settings.operators.iter().find(has_token) else {
        let detail = "the request carries no valid operator token";
        let status = StatusCode::UNAUTHORIZED;
        return ApiError::new(status, "unauthorized", detail).into_response();
    };
    let name = OperatorName(operator.name.clone());
    request.extensions_mut().insert(name);
    next.run(request).await
}

async fn read_document(State(service): ServiceState) -> ApiResult<DocumentResponse> {
    let current = service.store().current().await?;
    let (head, text) =
        current.map_or((None, String::new()), |stored| (Some(stored.head), stored.text));
    Ok(Json(DocumentResponse { head, text }))
}

async fn validate_document(Json(body): Json<DocumentRequest>) -> ApiResult<DocumentRequest> {
    parse_document(&body.text)?;
    Ok(Json(body))
}

async fn plan_document(
    State(service): ServiceState,
    Json(body): Json<DocumentRequest>,
) -> ApiResult<PlanResponse> {
    let document = parse_document(&body.text)?;
    Ok(Json(service.plan(&document).await?))
}

async fn apply_document(
    State(service): ServiceState,
    Extension(operator): Extension<OperatorName>,
    Json(body): Json<ApplyRequest>,
) -> ApiResult<ApplyResponse> {
    parse_document(&body.text)?;
    if let Some(source) = &service.settings.promote_from {
        let detail = format!("documents are accepted only by promotion from {source:?}");
        return Err(ApiError::new(StatusCode::FORBIDDEN, "promotion_only", detail));
    }
    service.replace_document(body.expected_revision, &body.text, &body.request_id, &operator).await
}

async fn promote_document(
    State(service): ServiceState,
    Extension(operator): Extension<OperatorName>,
    Json(body): Json<PromoteRequest>,
) -> ApiResult<ApplyResponse> {
    let Some(source) = &service.settings.promote_from else {
        let detail = "promotion is disabled: no source environment is configured";
        return Err(ApiError::new(StatusCode::FORBIDDEN, "no_trial", detail));
    };
    let source_store = DocumentStore::new(&service.platform, source);
    if !source_store.was_in_force(&body.digest).await? {
        let detail =
            format!("document {} was never in force in environment {source:?}", body.digest);
        return Err(ApiError::new(StatusCode::CONFLICT, "never_tried", detail));
    }
    // The store reads only the digest of this head.
    let head = DocumentHead {
        revision: 0,
        digest: body.digest.clone(),
        request: String::new(),
        operator: String::new(),
    };
    let text = source_store.body(&head).await?;
    service.replace_document(body.expected_revision, &text, &body.request_id, &operator).await
}

async fn read_status(State(service): ServiceState) -> ApiResult<StatusResponse> {
    let head = service.store().head().await?;
    let records = service.platform.instances().await.map_err(StoreError::from)?;
    let instances = instances::collect_reports(&records).await;
    let environment = service.settings.environment.clone();
    Ok(Json(StatusResponse { environment, head, instances }))
}

fn parse_document(text: &str) -> Result<Document, ApiError> {
    let parsed = Document::parse(text);
    parsed.map_err(|error| ApiError::new(StatusCode::UNPROCESSABLE_ENTITY, "invalid", error))
}

impl AdminService {
    fn store(&self) -> DocumentStore<'_, PlatformClient> {
        DocumentStore::new(&self.platform, &self.settings.environment)
    }

    async fn plan(&self, document: &Document) -> Result<PlanResponse, ApiError> {
        let Some(stored) = self.store().current().await? else {
            let changes = diff::compare_documents(&Document::default(), document);
            return Ok(PlanResponse { revision: 0, changes });
        };
        let changes = diff::compare_documents(&parse_document(&stored.text)?, document);
        Ok(PlanResponse { revision: stored.head.revision, changes })
    }

    async fn replace_document(
        &self,
        expected_revision: u64,
        text: &str,
        request_id: &str,
        operator: &OperatorName,
    ) -> ApiResult<ApplyResponse> {
        let store = self.store();
        match store.replace(expected_revision, text, request_id, &operator.0).await? {
            ReplaceOutcome::Accepted(head) => {
                let (revision, name) = (head.revision, &operator.0);
                log_event!(LogEvent::DocumentAccepted, "revision={revision} operator={name}");
                let records = self.platform.instances().await.unwrap_or_default();
                let rollout = instances::wait_for_rollout(&records, revision).await;
                Ok(Json(ApplyResponse { head, rollout }))
            }
            ReplaceOutcome::Conflict(head) => {
                let (current_revision, name) = (head.revision, &operator.0);
                log_event!(
                    LogEvent::DocumentConflict,
                    "expected={expected_revision} found={current_revision} operator={name}"
                );
                let plan = self.plan(&parse_document(text)?).await?;
                let detail = format!(
                    "expected revision {expected_revision}, but {current_revision} is in force"
                );
                let mut error = ApiError::new(StatusCode::CONFLICT, "conflict", detail);
                error.body.head = Some(head);
                error.body.changes = plan.changes;
                Err(error)
            }
        }
    }
}
