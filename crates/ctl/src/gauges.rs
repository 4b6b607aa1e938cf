//! Gauges of an instance that tell what it knows of the store.

use serde::Serialize;

/// Gauges of an instance, as its metrics port reports them.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct FleetGauges {
    /// State of the document in force; `unknown` if it is not reported.
    pub document_state: String,
    /// The store has a document with a lower number than the one in force.
    pub is_document_pending: bool,
    /// Newest known history of the store.
    pub store_history: Option<u64>,
}

impl FleetGauges {
    /// Reads the gauges from metrics in the text format of Prometheus; others are ignored.
    pub fn parse(text: &str) -> Self {
        let mut gauges = Self {
            document_state: "unknown".to_owned(),
            is_document_pending: false,
            store_history: None,
        };
        for (name, value) in text.lines().filter_map(parse_sample) {
            let (name, label) = name.split_once('{').unwrap_or((name, ""));
            match name {
                "hibiscus_document_state" if value > 0.0 => {
                    let state = label.split('"').nth(1).unwrap_or("unknown");
                    state.clone_into(&mut gauges.document_state);
                }
                "hibiscus_document_pending" => gauges.is_document_pending = value > 0.0,
                "hibiscus_store_history" => gauges.store_history = Some(value as u64),
                _ => {}
            }
        }
        gauges
    }
}

/// Returns the name with its labels, and the value.
fn parse_sample(line: &str) -> Option<(&str, f64)> {
    if line.starts_with('#') {
        return None;
    }
    let (name, value) = line.trim().rsplit_once(' ')?;
    Some((name, value.parse().ok()?))
}
