//! A manifest withdraws a key and adds a route whose priority is a larger number than the others.
//!
//! Requests that are sent later than `config_apply_ms` after its acknowledgement must be handled by it.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::caller::{Answer, Caller};
use crate::gateway::{CONFIG_APPLY, Fleet};
use crate::member::{Group, GroupSettings};
use crate::platform::Platform;
use crate::record::Record;

const SERVICE: &str = "bookings";
const DATABASE: &str = "halls";
const ADDED_DATABASE: &str = "evenings";
const KEY: &str = "key-ghent";
const WITHDRAWN_KEY: &str = "key-withdrawn";
/// Priority of the added route.
const WIDE_PRIORITY: u32 = 1_000;
/// The same without trouble.
const NARROW_PRIORITY: u32 = 3;
/// Number of sessions of each kind that are opened afterwards.
const SESSIONS: usize = 12;
/// Pause between them.
const PAUSE: Duration = Duration::from_millis(500);

fn manifest(version: u64, added_priority: Option<u32>) -> String {
    let route = |host: &str, priority: u32| {
        format!(
            "{{\"name\":\"r-{host}\",\"host\":\"{host}\",\"prefix\":\"/\",\"kind\":\"primary\",\
             \"timeout_ms\":800,\"target_latency_ms\":120,\"priority\":{priority},\
             \"service\":\"{SERVICE}\",\"max_attempts\":2,\"public\":false}}"
        )
    };
    let (routes, keys) = match added_priority {
        None => (route(DATABASE, 1), format!("\"{KEY}\",\"{WITHDRAWN_KEY}\"")),
        Some(priority) => (
            format!("{},{}", route(DATABASE, 1), route(ADDED_DATABASE, priority)),
            format!("\"{KEY}\""),
        ),
    };
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[\
         {{\"name\":\"{SERVICE}\",\"max_connections\":34,\"sync_replicas\":0}}],\
         \"limits\":{{\"transaction_idle_ms\":3000}},\"tenants\":[\
         {{\"name\":\"ghent\",\"api_keys\":[{keys}],\"rate_per_s\":115,\"burst\":115}}]}}"
    )
}

/// Runs the case; without trouble the added route has a small number as its priority.
pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let settings = GroupSettings {
        service: SERVICE,
        synchronous_replicas: 0,
        slots: 2,
        max_connections: 34,
        work: Duration::from_millis(5),
        replication_delay: Duration::from_millis(8),
    };
    let group = Group::start(settings, &["i-1", "i-2", "i-3"], record.clone());
    let promoted = group.clone();
    let platform = Platform::start(Box::new(move |request| promoted.promote(&request.member)));
    platform.put("op", "config", &manifest(1, None));
    group.register(&platform);
    let Some(fleet) = Fleet::start(3, &platform) else {
        return Verdict::NotRun("the instances did not become ready".to_owned());
    };
    let callers = fleet.callers();
    let open = |number: usize, database, key| {
        record.line(&format!("opening database={database} key={key}"));
        Caller::open(callers[number % callers.len()], database, key, record)
    };
    let before = open(0, DATABASE, WITHDRAWN_KEY).map(|mut caller| caller.query("WRITE 1a4 data"));
    if !before.is_ok_and(|answer| answer.is_success()) {
        return Verdict::NotRun("a request before the change failed".to_owned());
    }
    let priority = if has_trouble { WIDE_PRIORITY } else { NARROW_PRIORITY };
    platform.put("op", "config", &manifest(2, Some(priority)));
    let acknowledged_at = Instant::now();
    record.line(&format!("acknowledged manifest=2 priority={priority}"));
    thread::sleep(CONFIG_APPLY);
    let (mut withdrawn_runs, mut unknown) = (0, 0);
    for number in 0..SESSIONS {
        thread::sleep(PAUSE);
        match open(number, DATABASE, WITHDRAWN_KEY) {
            Ok(mut caller) => {
                let answer = caller.query("WRITE 1a4 data");
                withdrawn_runs += usize::from(answer.is_success());
            }
            Err(refusal) => record.line(&format!("refused {refusal:?}")),
        }
        match open(number, ADDED_DATABASE, KEY) {
            Ok(mut caller) => {
                caller.query("READ 1a4");
            }
            Err(refusal) => {
                unknown +=
                    usize::from(matches!(&refusal, Answer::Error(code, _) if code == "NODB"));
                record.line(&format!("refused {refusal:?}"));
            }
        }
    }
    if withdrawn_runs == 0 && unknown == 0 {
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "CONFIG: up to {:?} after the acknowledgement {withdrawn_runs} of {SESSIONS} writes with the \
         withdrawn key ran, and {unknown} of {SESSIONS} sessions of the added database were refused as \
         unknown",
        acknowledged_at.elapsed()
    ))
}
