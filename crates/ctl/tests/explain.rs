//! The command `explain` against a server with fixed responses.

mod common;

use std::process::{Command, Output};

use common::{response, serve};
use serde_json::json;

/// Runs the command against a server that sends one response; returns the output and the request.
fn explain_with(response: &str, arguments: &[&str]) -> (Output, String, String) {
    let response = response.to_owned();
    let (instance, server) = serve(1, move |_| response.clone());
    let output = explain(&instance, arguments);
    let mut requests = server.join().expect("the server ends");
    (output, requests.remove(0), instance)
}

fn explain(instance: &str, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hibiscusctl"));
    command.args(["explain", "--instance", instance, "--team", "a b", "--database", "strict"]);
    command.args(["--kind", "read"]).args(arguments).output().expect("the command runs")
}

// Guards against a lost part of the explanation and a query that names another request.
#[test]
fn explanation_is_printed_as_text_and_json() {
    let explanation = json!({
        "instance": "i-1", "team": "a b", "database": "strict", "service": "bookings",
        "kind": "read", "document_version": 7, "required_position": "2.9", "endpoint": "m-2",
        "owner": "i-2", "expected_wait_ms": 1.5, "service_time_ms": null,
        "random_choice": [
            { "endpoint": "m-2", "expected_ms": 8.0 }, { "endpoint": "m-3", "expected_ms": 9.0 },
        ],
        "candidates": [{
            "endpoint": "m-2", "zone": "b", "rank": 1, "leads": false, "reasons": ["same zone"],
            "expected_ms": 8.0, "owners": ["i-2"], "owned": null,
        }],
        "refusals": [{ "cause": "over the limit of the team", "retry_after_ms": 40.0 }],
        "team_limit": { "outcome": "refused", "quota_owner": "i-1", "wait_ms": null },
    });
    let response = response("200 OK", &explanation.to_string());
    let (output, request, _) = explain_with(&response, &["--position", "2.9"]);
    assert!(
        request.starts_with("GET /explain?team=a+b&database=strict&kind=read&position=2.9 "),
        "{request}"
    );
    let text = String::from_utf8_lossy(&output.stdout);
    for part in [
        "goes to m-2 through i-2, expected wait 1.5 ms, service time unknown",
        "random choice between m-2 (8 ms) and m-3 (9 ms)",
        "  1 m-2 in b: same zone; expected 8 ms; through i-2",
        "team limit: refused, decided by i-1",
        "REFUSED: over the limit of the team; retry after 40 ms",
    ] {
        assert!(text.contains(part), "{part:?} is missing in {text}");
    }
    let (output, _, _) = explain_with(&response, &["--json"]);
    let printed: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(printed, explanation);
}

// Guards against errors that name neither the instance nor the cause.
#[test]
fn errors_name_the_instance_and_the_cause() {
    let body = json!({ "error": "team \"a b\" is unknown in document 7" });
    let (output, _, instance) = explain_with(&response("404 Not Found", &body.to_string()), &[]);
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains(&instance) && text.contains("team \"a b\" is unknown"), "{text}");
    assert_eq!(output.status.code(), Some(1));
    // No server listens on this port, since the listener is closed.
    let output = explain(&instance, &[]);
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains(&format!("cannot reach instance {instance}")), "{text}");
}
