//! Plays a case of the review: `standins CASE RECORD`. `TROUBLE=0` leaves the disruption out.
//!
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod consumer;
mod fleet;
mod json;
mod member;
mod record;
mod store;
mod world;

use std::path::Path;
use std::process::ExitCode;

use record::Recorder;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = &arguments[..] else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Recorder::new();
    record.line(format!("case {name}, disruption: {trouble}"));
    let result = match name.as_str() {
        "prepared-names" => cases::prepared_names(trouble, &record),
        "synchronous-promotion" => cases::synchronous_promotion(trouble, &record),
        "store-drill-lease" => cases::store_drill_lease(trouble, &record),
        "session-values" => cases::session_values(trouble, &record),
        "store-drill-key" => cases::store_drill_key(trouble, &record),
        "store-drill-added-key" => cases::store_drill_added_key(trouble, &record),
        "stop-in-transaction" => cases::stop_in_transaction(trouble, &record),
        "drain-restart" => cases::drain_restart(trouble, &record),
        _ => Err(format!("no case {name}")),
    };
    let (code, text) = match result {
        Ok(violations) if violations.is_empty() => (0, "HELD".to_owned()),
        Ok(violations) => {
            let shown: Vec<String> = violations.iter().take(10).map(|line| format!("\n  {line}")).collect();
            (1, format!("BROKEN, {} times:{}", violations.len(), shown.concat()))
        }
        Err(cause) => (2, format!("COULD NOT RUN: {cause}")),
    };
    record.line(text.clone());
    println!("{text}");
    if let Err(error) = record.write(Path::new(path)) {
        eprintln!("cannot write {path}: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
