//! Tests of the administration API: authentication, plans, conflicts, lost responses, promotion.

use std::net::SocketAddr;
use std::sync::Arc;

use admin::api::{
    self, ApplyRequest, ApplyResponse, DocumentRequest, ErrorResponse, PlanResponse,
    PromoteRequest, StatusResponse,
};
use admin::diff::ChangeKind;
use admin::settings::{AdminSettings, OperatorCredential};
use reqwest::{Client, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use standin::control::{self, StandinServices};
use standin::platform::PlatformFault;
use state::credential::KeyHash;
use tokio::net::TcpListener;

const OPERATOR_TOKEN: &str = "operator token";
const FIRST_DOCUMENT: &str = "format = 1\n\n[[team]]\nname = \"a\"\nrate = 10.0\n";
const SECOND_DOCUMENT: &str = "format = 1\n\n[[team]]\nname = \"a\"\nrate = 20.0\n";

/// Platform stand-in with the administration APIs of a trial and a production environment.
struct TestPlatform {
    services: Arc<StandinServices>,
    trial: SocketAddr,
    production: SocketAddr,
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

async fn start_admin(platform: SocketAddr, environment: &str, source: Option<&str>) -> SocketAddr {
    let (listener, address) = listen().await;
    let settings = AdminSettings {
        listen: address,
        environment: environment.to_owned(),
        promote_from: source.map(str::to_owned),
        platform: format!("http://{platform}"),
        operators: vec![OperatorCredential {
            name: "ann".to_owned(),
            token_hash: KeyHash::generate(OPERATOR_TOKEN),
        }],
    };
    tokio::spawn(api::serve_on(listener, settings));
    address
}

async fn start_platform() -> TestPlatform {
    let services = Arc::new(StandinServices::default());
    let (listener, platform) = listen().await;
    tokio::spawn(control::serve(listener, services.clone()));
    let trial = start_admin(platform, "trial", None).await;
    let production = start_admin(platform, "production", Some("trial")).await;
    TestPlatform { services, trial, production }
}

async fn post_json(address: SocketAddr, path: &str, body: &impl Serialize) -> Response {
    let request = Client::new().post(format!("http://{address}{path}")).bearer_auth(OPERATOR_TOKEN);
    request.json(body).send().await.expect("a response")
}

async fn read_json<T: DeserializeOwned>(response: Response, status: StatusCode) -> T {
    assert_eq!(response.status(), status);
    response.json().await.expect("valid JSON of the expected type")
}

async fn apply(address: SocketAddr, expected: u64, text: &str, request: &str) -> Response {
    let body = ApplyRequest {
        expected_revision: expected,
        text: text.to_owned(),
        request_id: request.to_owned(),
    };
    post_json(address, "/v1/document", &body).await
}

#[tokio::test]
async fn rejects_requests_without_an_operator_token() {
    let platform = start_platform().await;
    let url = format!("http://{}/v1/status", platform.trial);
    let client = Client::new();
    let without = client.get(&url).send().await.expect("a response");
    assert_eq!(without.status(), StatusCode::UNAUTHORIZED);
    let wrong = client.get(&url).bearer_auth("wrong").send().await.expect("a response");
    assert_eq!(wrong.status(), StatusCode::UNAUTHORIZED);
    let right = client.get(&url).bearer_auth(OPERATOR_TOKEN).send().await.expect("a response");
    let status: StatusResponse = read_json(right, StatusCode::OK).await;
    assert_eq!((status.environment.as_str(), status.head), ("trial", None));
}

#[tokio::test]
async fn plans_applies_and_reports_conflicts() {
    let platform = start_platform().await;
    let invalid = DocumentRequest { text: "format = 1\nteams = 3\n".to_owned() };
    let rejected = post_json(platform.trial, "/v1/plan", &invalid).await;
    let error: ErrorResponse = read_json(rejected, StatusCode::UNPROCESSABLE_ENTITY).await;
    assert!(error.detail.contains("line 2, column 1"), "{}", error.detail);
    let applied: ApplyResponse =
        read_json(apply(platform.trial, 0, FIRST_DOCUMENT, "r1").await, StatusCode::OK).await;
    assert_eq!((applied.head.revision, applied.head.operator.as_str()), (1, "ann"));
    let change = DocumentRequest { text: SECOND_DOCUMENT.to_owned() };
    let plan: PlanResponse =
        read_json(post_json(platform.trial, "/v1/plan", &change).await, StatusCode::OK).await;
    let field = "rate: 10.0 -> 20.0".to_owned();
    assert_eq!(plan.changes[0].change, ChangeKind::Changed(vec![field.clone()]));
    let conflicting = apply(platform.trial, 0, SECOND_DOCUMENT, "r2").await;
    let error: ErrorResponse = read_json(conflicting, StatusCode::CONFLICT).await;
    assert_eq!(error.head.map(|head| head.revision), Some(1));
    assert_eq!(error.changes[0].change, ChangeKind::Changed(vec![field]));
}

#[tokio::test]
async fn applies_a_repeated_request_once() {
    let platform = start_platform().await;
    // The platform stores the object, but the response is lost.
    let lose_response = PlatformFault { lose_answers: 1, ..PlatformFault::default() };
    platform.services.platform.set_fault(lose_response.clone());
    let first = apply(platform.trial, 0, FIRST_DOCUMENT, "r1").await;
    assert_eq!(first.status(), StatusCode::SERVICE_UNAVAILABLE);
    let repeated: ApplyResponse =
        read_json(apply(platform.trial, 0, FIRST_DOCUMENT, "r1").await, StatusCode::OK).await;
    let third: ApplyResponse =
        read_json(apply(platform.trial, 0, FIRST_DOCUMENT, "r1").await, StatusCode::OK).await;
    assert_eq!((repeated.head.revision, third.head), (1, repeated.head));
}

#[tokio::test]
async fn promotes_only_documents_of_the_source_environment() {
    let platform = start_platform().await;
    let direct = apply(platform.production, 0, FIRST_DOCUMENT, "r1").await;
    let error: ErrorResponse = read_json(direct, StatusCode::FORBIDDEN).await;
    assert_eq!(error.error, "promotion_only");
    let applied_in_trial: ApplyResponse =
        read_json(apply(platform.trial, 0, FIRST_DOCUMENT, "r1").await, StatusCode::OK).await;
    let promote = |digest: &str, request: &str| PromoteRequest {
        expected_revision: 0,
        digest: digest.to_owned(),
        request_id: request.to_owned(),
    };
    let unknown_digest = state::credential::sha256_hex(SECOND_DOCUMENT.as_bytes());
    let rejected =
        post_json(platform.production, "/v1/promote", &promote(&unknown_digest, "p1")).await;
    let error: ErrorResponse = read_json(rejected, StatusCode::CONFLICT).await;
    assert_eq!(error.error, "never_tried");
    let body = promote(&applied_in_trial.head.digest, "p2");
    let promoted: ApplyResponse =
        read_json(post_json(platform.production, "/v1/promote", &body).await, StatusCode::OK).await;
    assert_eq!(promoted.head.digest, applied_in_trial.head.digest);
    let url = format!("http://{}/v1/document", platform.production);
    let document =
        Client::new().get(url).bearer_auth(OPERATOR_TOKEN).send().await.expect("a response");
    let document: api::DocumentResponse = read_json(document, StatusCode::OK).await;
    assert_eq!(document.text, FIRST_DOCUMENT, "byte for byte");
}
