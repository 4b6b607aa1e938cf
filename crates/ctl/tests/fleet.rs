//! The command `fleet` against servers with fixed responses.

mod common;

use std::process::{Command, Output};

use common::{response, serve};
use serde_json::{Value, json};

/// Serves the status and the metrics of an instance once each, and returns its URL.
fn serve_instance(status: &Value, metrics: &str) -> String {
    let (status, metrics) = (status.to_string(), metrics.to_owned());
    let body = move |request: &str| match request.starts_with("GET /status") {
        true => response("200 OK", &status),
        false => response("200 OK", &metrics),
    };
    serve(2, body).0
}

fn status(name: &str, changes: &Value) -> Value {
    let mut status = json!({
        "instance": name, "zone": "a", "is_ready": true, "document_version": 43,
        "is_document_outdated": false, "is_congested": false, "live_instances": 2,
        "known_instances": 2, "zones": [], "outstanding_requests": 5, "open_connections": 9,
        "endpoints": [],
    });
    for (key, value) in changes.as_object().expect("the changes are fields") {
        status[key] = value.clone();
    }
    status
}

fn metrics(history: u64, pending: u64) -> String {
    format!(
        "# TYPE hibiscus_store_history gauge\nhibiscus_store_history {history}\n\
         hibiscus_document_pending {pending}\nhibiscus_document_state{{state=\"outdated\"}} 0\n\
         hibiscus_document_state{{state=\"confirmed\"}} 1\n"
    )
}

fn fleet(instances: &[String], arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hibiscusctl"));
    command.arg("fleet").args(instances).args(arguments).output().expect("the command runs")
}

#[test]
fn a_fleet_that_agrees_has_no_findings() {
    let instances =
        ["i-2", "i-1"].map(|name| serve_instance(&status(name, &json!({})), &metrics(2, 0)));
    let output = fleet(&instances, &[]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[1], "i-1       a     yes    43 confirmed  2        2/2   5     0", "{text}");
    assert_eq!(lines.len(), 3, "{text}");
}

// A fleet that was wrong as a whole, or in part, showed it in the logs of single instances only.
#[test]
fn findings_name_what_is_wrong_and_where_instances_differ() {
    let owned = json!([{
        "endpoint": "m-1", "service": "bookings", "zone": "a", "is_owned": true,
        "is_unreachable": true, "cold_wait_ms": null, "pace": null, "outstanding_requests": 0,
        "open_connections": 0, "max_connections": 4,
    }]);
    let defect = "\"route halls\": priority, replaced";
    let first = status("i-1", &json!({ "endpoints": owned, "document_defects": [defect] }));
    let second = json!({
        "document_version": 42, "is_ready": false, "live_instances": 1, "endpoints": owned,
        "zones": [{ "zone": "b", "phase": "closed" }],
    });
    let instances = [
        serve_instance(&first, &metrics(3, 1)),
        serve_instance(&status("i-2", &second), &metrics(2, 0)),
        "http://127.0.0.1:1".to_owned(),
    ];
    let output = fleet(&instances, &["--json"]);
    assert_eq!(output.status.code(), Some(1));
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let findings: Vec<&str> =
        report["findings"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    assert!(findings[0].starts_with("cannot reach instance http://127.0.0.1:1: "), "{findings:?}");
    let expected = [
        "i-1: the store has a document with a lower number than the one in force",
        "i-1: the document is in force in part: \"route halls\": priority, replaced",
        "i-1: cannot reach m-1",
        "i-2: not ready",
        "i-2: reaches 1 of 2 instances",
        "i-2: cannot reach m-1",
        "documents differ: 42 on i-2; 43 on i-1",
        "histories of the store differ: 2 on i-2; 3 on i-1",
        "phases of zone b differ: closed on i-2; open on i-1",
        "the connections of m-1 have several owners: i-1, i-2",
    ];
    assert_eq!(findings[1..], expected);
    assert_eq!(report["instances"][0]["store_history"], 3);
}
