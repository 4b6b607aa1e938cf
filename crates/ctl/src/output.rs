//! Text output of the responses of the administration API.

use std::fmt::Write as _;

use admin::api::StatusResponse;
use admin::diff::{ChangeKind, EntryChange};
use admin::instances::{InstanceView, RolloutReport};
use net::store::DocumentHead;

/// Formats changes, one entry per line with its changed fields below it.
pub fn format_changes(changes: &[EntryChange]) -> String {
    let mut text = String::new();
    for EntryChange { section, name, change } in changes {
        match change {
            ChangeKind::Added => _ = writeln!(text, "+ {section} {name}"),
            ChangeKind::Removed => _ = writeln!(text, "- {section} {name}"),
            ChangeKind::Changed(fields) => {
                _ = writeln!(text, "~ {section} {name}");
                fields.iter().for_each(|field| _ = writeln!(text, "    {field}"));
            }
        }
    }
    if text.is_empty() {
        text.push_str("no changes\n");
    }
    text
}

/// Formats the head of a revision.
pub fn format_head(head: &DocumentHead) -> String {
    format!("revision {} by {}\ndigest {}\n", head.revision, head.operator, head.digest)
}

/// Formats the rollout of a revision.
pub fn format_rollout(rollout: &RolloutReport) -> String {
    let state =
        if rollout.everywhere { "in force everywhere" } else { "NOT YET in force everywhere" };
    let mut text = format!("{state} after {} ms\n", rollout.time_ms);
    _ = writeln!(text, "confirmed by {}", join_names(&rollout.confirmed));
    if !rollout.expired.is_empty() {
        _ = writeln!(text, "no response, older document expired: {}", join_names(&rollout.expired));
    }
    text
}

/// Formats the status of an environment. Members are shown as the first instance with a report
/// sees them.
pub fn format_status(status: &StatusResponse) -> String {
    let mut text = format!("environment {}\n", status.environment);
    match &status.head {
        Some(head) => text += &format_head(head),
        None => text += "no document yet\n",
    }
    status.instances.iter().for_each(|instance| text += &format_instance(instance));
    let report = status.instances.iter().find_map(|instance| instance.report.as_ref());
    for member in report.iter().flat_map(|report| &report.members) {
        let age = member.age_ms.map_or("-".to_owned(), |age| format!("{age} ms"));
        _ = writeln!(
            text,
            "member {}/{} in {}: {} term {} applied {} {} age {age}",
            member.database,
            member.member,
            member.zone,
            member.role,
            member.term,
            member.applied,
            if member.reachable { "reachable" } else { "LOST" }
        );
    }
    text
}

fn format_instance(instance: &InstanceView) -> String {
    let leaving = if instance.leaving { " leaving" } else { "" };
    match &instance.report {
        None => format!("instance {} in {}{leaving}: no response\n", instance.name, instance.zone),
        Some(report) => format!(
            "instance {} in {}{leaving}: {} revision {} epoch {} callers {}{}\n",
            instance.name,
            instance.zone,
            report.phase,
            report.revision,
            report.epoch,
            report.callers,
            if report.store_down { " STORE DOWN" } else { "" }
        ),
    }
}

fn join_names(names: &[String]) -> String {
    if names.is_empty() { "nobody".to_owned() } else { names.join(", ") }
}
