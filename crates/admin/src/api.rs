//! HTTP interface of the administration API.

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

/// Time that an operation on the platform's services may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);

/// Errors of the API's start.
#[derive(Debug, Snafu)]
pub enum AdminError {
    /// The address cannot be listened on or served.
    #[snafu(display("cannot serve on {address}: {source}"))]
    Serve {
        /// Address that was tried.
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

/// Request that carries a document.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DocumentRequest {
    /// Text of the document.
    pub text: String,
}

/// Request to replace the document.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Revision that the change rests on; zero for none.
    #[serde(rename = "expected")]
    pub expected_revision: u64,
    /// Text of the document.
    pub text: String,
    /// Identifier by which a repeated request is recognised.
    #[serde(rename = "request")]
    pub request_id: String,
}

/// Request to promote a document from the environment before this one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PromoteRequest {
    /// Revision that the change rests on; zero for none.
    #[serde(rename = "expected")]
    pub expected_revision: u64,
    /// Digest of the document to promote.
    pub digest: String,
    /// Identifier by which a repeated request is recognised.
    #[serde(rename = "request")]
    pub request_id: String,
}

/// Document with its head.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DocumentResponse {
    /// Head of the revision; none before the first document.
    pub head: Option<DocumentHead>,
    /// Text of the document.
    pub text: String,
}

/// What a document would change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlanResponse {
    /// Revision in force, zero for none.
    pub revision: u64,
    /// Changes against the document in force.
    pub changes: Vec<EntryChange>,
}

/// Answer to an accepted change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyResponse {
    /// Head of the revision that was made.
    pub head: DocumentHead,
    /// Where the revision is in force.
    #[serde(rename = "force")]
    pub rollout: RolloutReport,
}

/// Explanation of a refusal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Short name of the refusal.
    pub error: String,
    /// Explanation.
    pub detail: String,
    /// Head in force, if a race was lost.
    #[serde(default)]
    pub head: Option<DocumentHead>,
    /// Changes that the refused document would make to the one in force.
    #[serde(default)]
    pub changes: Vec<EntryChange>,
}

/// State of the environment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusResponse {
    /// Name of the environment.
    pub environment: String,
    /// Head in force, none before the first document.
    pub head: Option<DocumentHead>,
    /// Instances that the platform lists, with what they report.
    pub instances: Vec<InstanceView>,
}

/// Name of the operator who sent a request.
#[derive(Clone, Debug)]
struct OperatorName(String);

/// State of the API.
pub struct AdminService {
    settings: AdminSettings,
    platform: PlatformClient,
}

type ServiceState = State<Arc<AdminService>>;

/// Refusal of an API request.
struct ApiRefusal {
    status: StatusCode,
    reply: Box<ErrorResponse>,
}

impl ApiRefusal {
    fn new(status: StatusCode, error: &str, detail: impl ToString) -> Self {
        let reply = ErrorResponse {
            error: error.to_owned(),
            detail: detail.to_string(),
            head: None,
            changes: Vec::new(),
        };
        Self { status, reply: Box::new(reply) }
    }
}

impl From<StoreError> for ApiRefusal {
    fn from(error: StoreError) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, "store", error)
    }
}

impl IntoResponse for ApiRefusal {
    fn into_response(self) -> Response {
        (self.status, Json(*self.reply)).into_response()
    }
}

type ApiResult<T> = Result<Json<T>, ApiRefusal>;

/// Opens the listener and serves until the task ends.
pub async fn serve(settings: AdminSettings) -> Result<(), AdminError> {
    let address = settings.listen;
    let listener = TcpListener::bind(address).await.context(ServeSnafu { address })?;
    serve_on(listener, settings).await
}

/// Serves on an open listener until the task ends.
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
        .route("/v1/status", get(status))
        .layer(middleware::from_fn_with_state(service.clone(), authenticate))
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
    let known = |operator: &&OperatorCredential| {
        token.is_some_and(|token| operator.token_hash.matches(token))
    };
    let Some(operator) = service.settings.operators.iter().find(known) else {
        let detail = "an operator's token is required";
        let status = StatusCode::UNAUTHORIZED;
        return ApiRefusal::new(status, "unauthorized", detail).into_response();
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
    parse(&body.text)?;
    Ok(Json(body))
}

async fn plan_document(
    State(service): ServiceState,
    Json(body): Json<DocumentRequest>,
) -> ApiResult<PlanResponse> {
    let document = parse(&body.text)?;
    Ok(Json(service.plan(&document).await?))
}

async fn apply_document(
    State(service): ServiceState,
    Extension(operator): Extension<OperatorName>,
    Json(body): Json<ApplyRequest>,
) -> ApiResult<ApplyResponse> {
    parse(&body.text)?;
    if let Some(from) = &service.settings.promote_from {
        let detail = format!("this environment takes documents only by promotion from {from:?}");
        return Err(ApiRefusal::new(StatusCode::FORBIDDEN, "promotion_only", detail));
    }
    service.replace(body.expected_revision, &body.text, &body.request_id, &operator).await
}

async fn promote_document(
    State(service): ServiceState,
    Extension(operator): Extension<OperatorName>,
    Json(body): Json<PromoteRequest>,
) -> ApiResult<ApplyResponse> {
    let Some(from) = &service.settings.promote_from else {
        let detail = "this environment has none before it";
        return Err(ApiRefusal::new(StatusCode::FORBIDDEN, "no_trial", detail));
    };
    let trial = DocumentStore::new(&service.platform, from);
    if !trial.was_in_force(&body.digest).await? {
        let detail = format!("document {} was never in force in {from:?}", body.digest);
        return Err(ApiRefusal::new(StatusCode::CONFLICT, "never_tried", detail));
    }
    let head = DocumentHead {
        revision: 0,
        digest: body.digest.clone(),
        request: String::new(),
        operator: String::new(),
    };
    let text = trial.body(&head).await?;
    service.replace(body.expected_revision, &text, &body.request_id, &operator).await
}

async fn status(State(service): ServiceState) -> ApiResult<StatusResponse> {
    let head = service.store().head().await?;
    let listed = service.platform.instances().await.map_err(StoreError::from)?;
    let instances = instances::collect_reports(&listed).await;
    let environment = service.settings.environment.clone();
    Ok(Json(StatusResponse { environment, head, instances }))
}

fn parse(text: &str) -> Result<Document, ApiRefusal> {
    let parsed = Document::parse(text);
    parsed.map_err(|error| ApiRefusal::new(StatusCode::UNPROCESSABLE_ENTITY, "invalid", error))
}

impl AdminService {
    fn store(&self) -> DocumentStore<'_, PlatformClient> {
        DocumentStore::new(&self.platform, &self.settings.environment)
    }

    async fn plan(&self, document: &Document) -> Result<PlanResponse, ApiRefusal> {
        let Some(stored) = self.store().current().await? else {
            let changes = diff::compare_documents(&Document::default(), document);
            return Ok(PlanResponse { revision: 0, changes });
        };
        let changes = diff::compare_documents(&parse(&stored.text)?, document);
        Ok(PlanResponse { revision: stored.head.revision, changes })
    }

    async fn replace(
        &self,
        expected: u64,
        text: &str,
        request: &str,
        operator: &OperatorName,
    ) -> ApiResult<ApplyResponse> {
        let store = self.store();
        match store.replace(expected, text, request, &operator.0).await? {
            ReplaceOutcome::Accepted(head) => {
                let (revision, name) = (head.revision, &operator.0);
                log_event!(LogEvent::DocumentAccepted, "revision={revision} operator={name}");
                let listed = self.platform.instances().await.unwrap_or_default();
                let rollout = instances::wait_for_rollout(&listed, revision).await;
                Ok(Json(ApplyResponse { head, rollout }))
            }
            ReplaceOutcome::Conflict(head) => {
                let (found, name) = (head.revision, &operator.0);
                log_event!(
                    LogEvent::DocumentConflict,
                    "expected={expected} found={found} operator={name}"
                );
                let plan = self.plan(&parse(text)?).await?;
                let detail = format!("revision {expected} was expected, {found} is in force");
                let mut refusal = ApiRefusal::new(StatusCode::CONFLICT, "conflict", detail);
                refusal.reply.head = Some(head);
                refusal.reply.changes = plan.changes;
                Err(refusal)
            }
        }
    }
}
