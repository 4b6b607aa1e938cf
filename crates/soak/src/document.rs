//! Documents of a run, and the answers to new sessions that they allow.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;

use crate::caller::CALLER_API_KEY;
use crate::invariants::CALLER_TEAM;
use crate::run::SERVICE;

/// Time after which a document must decide each new session; stated in the settings of the instances.
pub(crate) const DOCUMENT_BOUND: Duration = Duration::from_secs(3);
/// Timeout of the routes.
pub(crate) const ROUTE_TIMEOUT: Duration = Duration::from_millis(800);
/// Database that every document has.
const KEPT_DATABASE: &str = "strict";

/// Session whose answer shows which documents may have decided it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SessionProbe {
    /// Session with the database that this document added.
    AddedDatabase(u64),
    /// Session with the key that this document added.
    AddedKey(u64),
}

impl SessionProbe {
    /// Returns the probes for what a document added, and for what it removed.
    pub fn for_document(document: u64) -> [Self; 4] {
        let removed = document.saturating_sub(2);
        [
            Self::AddedDatabase(document),
            Self::AddedDatabase(removed),
            Self::AddedKey(document),
            Self::AddedKey(removed),
        ]
    }

    /// Returns the database and the key of the session.
    pub fn credentials(&self) -> (String, String) {
        match self {
            Self::AddedDatabase(document) => (database(*document), CALLER_API_KEY.to_owned()),
            Self::AddedKey(document) => (KEPT_DATABASE.to_owned(), key(*document)),
        }
    }

    /// Returns whether one of these documents allows the first line of an answer.
    ///
    /// Refusals that no document decides, such as `BUSY`, are always allowed.
    pub fn allows(&self, answer: &str, first: u64, last: u64) -> bool {
        let (added_in, refusal) = match self {
            Self::AddedDatabase(document) => (*document, "ERROR NODB"),
            Self::AddedKey(document) => (*document, "ERROR NOAUTH"),
        };
        let mut documents = first..=last;
        if answer.starts_with("READY") {
            documents.any(|document| contains(document, added_in))
        } else if answer.starts_with(refusal) {
            documents.any(|document| !contains(document, added_in))
        } else {
            true
        }
    }
}

/// Returns whether a document has what another one added: its successor still does.
fn contains(document: u64, added_in: u64) -> bool {
    document == added_in || document == added_in + 1
}

fn database(document: u64) -> String {
    format!("added-{document}")
}

fn key(document: u64) -> String {
    format!("key-{document}")
}

/// Documents that the operator has written, in order, whatever their numbers.
#[derive(Debug)]
pub struct DocumentLog {
    /// Number of connections that a member accepts.
    max_connections: usize,
    /// Number of the newest document in the store.
    pub number: u64,
    written_at: Vec<Instant>,
}

impl DocumentLog {
    /// Creates an empty log for members that accept this number of connections each.
    pub fn new(max_connections: usize) -> Self {
        Self { max_connections, number: 0, written_at: Vec::new() }
    }

    /// Returns the position of the newest document, from one.
    pub fn newest(&self) -> u64 {
        self.written_at.len() as u64
    }

    /// Returns the position of the newest document that was written before a time; zero if none was.
    pub fn newest_before(&self, time: Instant) -> u64 {
        self.written_at.iter().filter(|written_at| **written_at < time).count() as u64
    }

    /// Writes the next document, whose number follows that of the newest one in the store.
    pub fn write_next(&mut self, write: impl FnOnce(&Value)) {
        self.number += 1;
        let document = self.newest() + 1;
        let previous = document.saturating_sub(1);
        let route = |host: &str, kind: &str| {
            json!({
                "name": host, "host": host, "kind": kind, "service": SERVICE,
                "timeout_ms": ROUTE_TIMEOUT.as_millis() as u64, "target_latency_ms": 300,
                "priority": 1, "max_staleness_ms": 1_500, "public": false,
            })
        };
        write(&json!({
            "version": self.number,
            "routes": [
                route(KEPT_DATABASE, "primary"), route("own", "read_your_writes"),
                route(&database(document), "primary"), route(&database(previous), "primary"),
            ],
            "services": [{
                "name": SERVICE, "max_connections": self.max_connections, "sync_replicas": 0,
            }],
            "limits": { "transaction_idle_ms": 3_000 },
            "tenants": [{
                "name": CALLER_TEAM, "api_keys": [CALLER_API_KEY, key(document), key(previous)],
                "rate_per_s": 2_000, "burst": 2_000,
            }],
        }));
        self.written_at.push(Instant::now());
    }
}
