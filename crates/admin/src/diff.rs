//! Comparison of two documents, entry by entry, as operators read it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use state::credential::KeyHash;
use state::document::Document;

/// Change of one entry of a document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EntryChange {
    /// Section of the entry: `team`, `database` or `route`.
    pub section: String,
    /// Name of the entry.
    pub name: String,
    /// Kind of the change.
    pub change: ChangeKind,
}

/// Kind of a change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// The entry is added.
    Added,
    /// The entry is removed.
    Removed,
    /// The entry is changed; each line names a field with its old and its new value.
    Changed(Vec<String>),
}

/// Returns the changes that turn `before` into `after`.
pub fn compare_documents(before: &Document, after: &Document) -> Vec<EntryChange> {
    let mut changes = Vec::new();
    compare_section(&mut changes, "team", &before.teams, &after.teams, |team| &team.name);
    let (old, new) = (&before.databases, &after.databases);
    compare_section(&mut changes, "database", old, new, |database| &database.name);
    compare_section(&mut changes, "route", &before.routes, &after.routes, |route| &route.name);
    changes
}

fn compare_section<T: Serialize + PartialEq>(
    changes: &mut Vec<EntryChange>,
    section: &str,
    before: &[T],
    after: &[T],
    name_of: impl Fn(&T) -> &String,
) {
    let old: BTreeMap<&String, &T> = before.iter().map(|entry| (name_of(entry), entry)).collect();
    let new: BTreeMap<&String, &T> = after.iter().map(|entry| (name_of(entry), entry)).collect();
    let mut push = |name: &str, change| {
        changes.push(EntryChange { section: section.to_owned(), name: name.to_owned(), change });
    };
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        push(name, ChangeKind::Removed);
    }
    for (name, entry) in &new {
        match old.get(name) {
            None => push(name, ChangeKind::Added),
            Some(previous) if previous != entry => {
                push(name, ChangeKind::Changed(format_changed_fields(*previous, *entry)));
            }
            Some(_) => {}
        }
    }
}

fn format_changed_fields<T: Serialize>(before: &T, after: &T) -> Vec<String> {
    let (old, new) = (field_map(before), field_map(after));
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort();
    names.dedup();
    let absent = serde_json::Value::Null;
    names
        .into_iter()
        .map(|name| (name, old.get(name).unwrap_or(&absent), new.get(name).unwrap_or(&absent)))
        .filter(|(_, old, new)| old != new)
        .map(|(name, old, new)| format!("{name}: {} -> {}", format_value(old), format_value(new)))
        .collect()
}

/// Formats a value. Key hashes become the fingerprints by which operators refer to keys.
fn format_value(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::Array(items) => {
            let items: Vec<String> = items.iter().map(format_value).collect();
            format!("[{}]", items.join(", "))
        }
        serde_json::Value::String(text) => match text.parse::<KeyHash>() {
            Ok(hash) => hash.fingerprint(),
            Err(_) => value.to_string(),
        },
        other => other.to_string(),
    }
}

fn field_map<T: Serialize>(entry: &T) -> serde_json::Map<String, serde_json::Value> {
    match serde_json::to_value(entry) {
        Ok(serde_json::Value::Object(fields)) => fields,
        _ => serde_json::Map::new(),
    }
}
