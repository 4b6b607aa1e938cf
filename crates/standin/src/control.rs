//! HTTP interface of the stand-ins: the platform's services and the fault control API.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Json, Response};
use axum::routing::{get, post, put};
use parking_lot::RwLock;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu};
use tokio::net::TcpListener;
use wire::platform::{InstanceRecord, TableTransaction};

use crate::fault::FaultChange;
use crate::group::DatabaseGroup;
use crate::platform::{PlatformError, PlatformFault, PlatformService};

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Error of serving the HTTP interface.
#[derive(Debug, Snafu)]
#[snafu(display("cannot serve on {address}: {source}"))]
pub struct ControlError {
    /// Listen address, or 0.0.0.0:0 if it could not be determined.
    pub address: SocketAddr,
    /// Cause reported by the operating system.
    pub source: std::io::Error,
}

/// Stand-ins that this process serves.
#[derive(Default)]
pub struct StandinServices {
    /// Platform services.
    pub platform: PlatformService,
    /// Database groups by name.
    pub groups: RwLock<HashMap<String, Arc<DatabaseGroup>>>,
}

/// Query parameters of a row, scan or object request.
#[derive(Deserialize)]
struct KeyQuery {
    /// Key of the row, prefix of the keys to scan, or name of the object.
    key: String,
}

/// Status of a member as returned by the interface.
#[derive(Serialize)]
struct MemberView {
    name: String,
    zone: String,
    address: SocketAddr,
    status: String,
    connections: u32,
}

type ServicesState = State<Arc<StandinServices>>;

/// Serves the HTTP interface on `listener` until it fails or is cancelled.
pub async fn serve(
    listener: TcpListener,
    services: Arc<StandinServices>,
) -> Result<(), ControlError> {
    let address =
        listener.local_addr().context(ControlSnafu { address: SocketAddr::from(([0; 4], 0)) })?;
    axum::serve(listener, router(services)).await.context(ControlSnafu { address })
}

fn router(services: Arc<StandinServices>) -> Router {
    Router::new()
        .route("/table/transact", post(transact))
        .route("/table/row", get(read_row))
        .route("/table/scan", get(scan))
        .route("/object", get(read_object).put(write_object))
        .route("/instances", get(list_instances))
        .route("/control/instance", put(put_instance))
        .route("/control/instance/{name}", axum::routing::delete(remove_instance))
        .route("/control/platform", get(read_platform_fault).put(set_platform_fault))
        .route("/control/counts", get(read_counts))
        .route("/control/group/{group}", get(read_group))
        .route("/control/group/{group}/{member}", put(update_member_fault))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(services)
}

impl IntoResponse for PlatformError {
    fn into_response(self) -> Response {
        match self {
            Self::Unavailable => {
                (StatusCode::SERVICE_UNAVAILABLE, "the service is unavailable").into_response()
            }
            Self::ResponseLost => {
                (StatusCode::GATEWAY_TIMEOUT, "the response was lost").into_response()
            }
        }
    }
}

async fn transact(State(services): ServicesState, Json(body): Json<TableTransaction>) -> Response {
    match services.platform.transact(body).await {
        Ok(response) => Json(response).into_response(),
        Err(error) => error.into_response(),
    }
}

async fn read_row(State(services): ServicesState, Query(query): Query<KeyQuery>) -> Response {
    match services.platform.row(&query.key).await {
        Ok(row) => Json(row).into_response(),
        Err(error) => error.into_response(),
    }
}

async fn scan(State(services): ServicesState, Query(query): Query<KeyQuery>) -> Response {
    match services.platform.scan(&query.key).await {
        Ok(rows) => Json(rows).into_response(),
        Err(error) => error.into_response(),
    }
}

async fn read_object(State(services): ServicesState, Query(query): Query<KeyQuery>) -> Response {
    match services.platform.object(&query.key).await {
        Ok(Some(bytes)) => bytes.into_response(),
        Ok(None) => StatusCode::NOT_FOUND.into_response(),
        Err(error) => error.into_response(),
    }
}

async fn write_object(
    State(services): ServicesState,
    Query(query): Query<KeyQuery>,
    body: Bytes,
) -> Response {
    match services.platform.put_object(&query.key, body.to_vec()).await {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(error) => error.into_response(),
    }
}

async fn list_instances(State(services): ServicesState) -> Json<Vec<InstanceRecord>> {
    Json(services.platform.instances())
}

async fn put_instance(
    State(services): ServicesState,
    Json(record): Json<InstanceRecord>,
) -> StatusCode {
    services.platform.put_instance(record);
    StatusCode::NO_CONTENT
}

async fn remove_instance(State(services): ServicesState, Path(name): Path<String>) -> StatusCode {
    services.platform.remove_instance(&name);
    StatusCode::NO_CONTENT
}

async fn read_platform_fault(State(services): ServicesState) -> Json<PlatformFault> {
    Json(services.platform.fault())
}

async fn set_platform_fault(
    State(services): ServicesState,
    Json(fault): Json<PlatformFault>,
) -> StatusCode {
    services.platform.set_fault(fault);
    StatusCode::NO_CONTENT
}

async fn read_counts(State(services): ServicesState) -> Response {
    Json(services.platform.counts()).into_response()
}

async fn read_group(State(services): ServicesState, Path(name): Path<String>) -> Response {
    let Some(group) = services.groups.read().get(&name).cloned() else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let views: Vec<MemberView> = group
        .members
        .iter()
        .zip(&group.addresses)
        .map(|(member, address)| MemberView {
            name: member.name.clone(),
            zone: member.zone.clone(),
            address: *address,
            status: member.replication.lock().status().to_string(),
            connections: member.open_connections.load(std::sync::atomic::Ordering::SeqCst),
        })
        .collect();
    Json(views).into_response()
}

async fn update_member_fault(
    State(services): ServicesState,
    Path((group, member)): Path<(String, String)>,
    Json(change): Json<FaultChange>,
) -> StatusCode {
    let Some(group) = services.groups.read().get(&group).cloned() else {
        return StatusCode::NOT_FOUND;
    };
    let Some(member) = group.member(&member) else {
        return StatusCode::NOT_FOUND;
    };
    member.change_fault(&change);
    StatusCode::NO_CONTENT
}
