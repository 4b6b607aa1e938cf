//! Runs one case of the review: `case NAME RECORD`, from the root of the repository.
//!
//! Exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run. With
//! `TROUBLE=0` in the environment the case runs without its disruption.

mod caller;
mod drain_queue;
mod forgotten_replica;
mod gateway;
mod json;
mod lost_machines;
mod member;
mod moved_key;
mod platform;
mod record;
mod reused_id;
mod wide_priority;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use crate::record::Record;

/// Verdict of a case.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = &arguments[..] else {
        eprintln!("usage: case NAME RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case={name} trouble={has_trouble}"));
    let verdict = match name.as_str() {
        "lost-machines" => lost_machines::run(has_trouble, &record),
        "moved-key" => moved_key::run(has_trouble, &record),
        "drain-queue" => drain_queue::run(has_trouble, &record),
        "forgotten-replica" => forgotten_replica::run(has_trouble, &record),
        "reused-id" => reused_id::run(has_trouble, &record),
        "wide-priority" => wide_priority::run(has_trouble, &record),
        _ => Verdict::NotRun(format!("no case has the name {name}")),
    };
    let (code, text) = match verdict {
        Verdict::Held => (0, "held".to_owned()),
        Verdict::Broken(what) => (1, format!("broken: {what}")),
        Verdict::NotRun(why) => (2, format!("not run: {why}")),
    };
    record.line(&text);
    println!("{name}: {text}");
    ExitCode::from(code)
}
