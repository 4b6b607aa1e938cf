//! Large documents reach instances that learn of them only from peers behind slow links.

mod common;

use admin::api::{ApplyRequest, DocumentResponse};
use common::wait_for;
use lab::environment::LabEnvironment;
use reqwest::Client;

/// Rate of a slow link, in bytes a second.
const SLOW_LINK_BYTES_PER_S: u32 = 150_000;
/// Size of a large document, in bytes.
const DOCUMENT_BYTES: usize = 256 << 10;

lab_tests! {
    fetches_a_large_document_from_a_peer_over_a_slow_link(3);
}

// The timeout of a call must not cover the length of its response.
async fn fetches_a_large_document_from_a_peer_over_a_slow_link(environment: LabEnvironment) {
    let client = Client::new();
    let url = format!("http://{}/v1/document", environment.admin_address);
    let request = client.get(&url).bearer_auth(&environment.operator_token);
    let stored: DocumentResponse =
        request.send().await.expect("a response").json().await.expect("the document");
    let revision = stored.head.expect("a document is in force").revision;
    for index in [1, 2] {
        environment.platform_relays[index].set_blocked(true);
    }
    environment.peer_relays[0].set_rate(Some(SLOW_LINK_BYTES_PER_S));
    let comment = format!("# {}\n", "x".repeat(78));
    let padding = comment.repeat(DOCUMENT_BYTES / comment.len());
    let body = ApplyRequest {
        expected_revision: revision,
        text: format!("{}\n{padding}", stored.text),
        request_id: "large".to_owned(),
    };
    // The response waits for the instances, so it is not awaited.
    let request = client.post(&url).bearer_auth(&environment.operator_token).json(&body);
    tokio::spawn(request.send());
    wait_for("the document to be in force everywhere", || {
        let mut instances = environment.instances.iter();
        instances.all(|running| running.instance.revision() > revision)
    })
    .await;
}
