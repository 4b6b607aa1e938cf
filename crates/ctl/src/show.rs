//! Text forms of what the administration API answers.

use std::fmt::Write as _;

use admin::api::StatusResponse;
use admin::diff::{ChangeKind, EntryChange};
use admin::instances::{InstanceView, RolloutReport};
use net::store::DocumentHead;

/// Describes changes, one entry a line.
pub fn changes(changes: &[EntryChange]) -> String {
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

/// Describes a revision.
pub fn head(head: &DocumentHead) -> String {
    format!("revision {} by {}\ndigest {}\n", head.revision, head.operator, head.digest)
}

/// Describes where a revision is in force.
pub fn force(force: &RolloutReport) -> String {
    let state =
        if force.everywhere { "in force everywhere" } else { "NOT YET in force everywhere" };
    let mut text = format!("{state} after {} ms\n", force.time_ms);
    _ = writeln!(text, "confirmed by {}", list(&force.confirmed));
    if !force.expired.is_empty() {
        _ = writeln!(text, "silent, older document run out: {}", list(&force.expired));
    }
    text
}

/// Describes an environment.
pub fn status(status: &StatusResponse) -> String {
    let mut text = format!("environment {}\n", status.environment);
    match &status.head {
        Some(found) => text += &head(found),
        None => text += "no document yet\n",
    }
    status.instances.iter().for_each(|instance| text += &instance_line(instance));
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

fn instance_line(instance: &InstanceView) -> String {
    let leaving = if instance.leaving { " leaving" } else { "" };
    match &instance.report {
        None => format!("instance {} in {}{leaving}: no answer\n", instance.name, instance.zone),
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

fn list(names: &[String]) -> String {
    if names.is_empty() { "nobody".to_owned() } else { names.join(", ") }
}
