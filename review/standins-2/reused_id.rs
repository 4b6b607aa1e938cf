//! A member of one service ends, and its machine starts as a member of another service with the same
//! `id`.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::caller::Caller;
use crate::gateway::Fleet;
use crate::member::{Group, GroupSettings};
use crate::platform::Platform;
use crate::record::Record;

/// Key of the consumers.
const KEY: &str = "key-ghent";
const CONSUMERS: usize = 6;
/// Pause of a consumer between two reads.
const PAUSE: Duration = Duration::from_millis(30);
/// Index of the member that changes its service, in both services.
const MOVED: usize = 2;
/// Time before it ends.
const CALM_TIME: Duration = Duration::from_millis(3_000);
/// Time for which it does not run.
const DOWN_TIME: Duration = Duration::from_millis(1_000);
/// Time for which the consumers go on.
const AFTERWARDS: Duration = Duration::from_millis(8_000);

fn manifest() -> String {
    let route = |host: &str, service: &str| {
        format!(
            "{{\"name\":\"r-{host}\",\"host\":\"{host}\",\"prefix\":\"/\",\
             \"kind\":\"bounded_staleness\",\"timeout_ms\":1500,\"target_latency_ms\":400,\
             \"priority\":2,\"service\":\"{service}\",\"max_attempts\":2,\
             \"max_staleness_ms\":1500,\"public\":false}}"
        )
    };
    let service =
        |name: &str| format!("{{\"name\":\"{name}\",\"max_connections\":23,\"sync_replicas\":0}}");
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{},{}],\
         \"limits\":{{\"transaction_idle_ms\":3000}},\"tenants\":[\
         {{\"name\":\"ghent\",\"api_keys\":[\"{KEY}\"],\"rate_per_s\":500,\"burst\":500}}]}}",
        route("halls", "bookings"),
        route("doors", "contracts"),
        service("bookings"),
        service("contracts")
    )
}

/// Reads from the database `halls` until the case is over, and returns the identifiers.
fn read(address: SocketAddr, record: &Arc<Record>, is_over: &AtomicBool) -> Vec<String> {
    let mut sent = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        if let Ok(mut caller) = Caller::open(address, "halls", KEY, record) {
            while !is_over.load(Ordering::Relaxed) {
                let answer = caller.query("READ 1a4");
                sent.push(caller.last_id.clone());
                thread::sleep(PAUSE);
                if !answer.is_success() {
                    break;
                }
            }
        }
        thread::sleep(PAUSE);
    }
    sent
}

/// Runs the case; without trouble the member does not start again.
pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let settings = |service| GroupSettings {
        service,
        synchronous_replicas: 0,
        slots: 3,
        max_connections: 23,
        work: Duration::from_millis(10),
        replication_delay: Duration::from_millis(8),
    };
    let halls = Group::start(settings("bookings"), &["i-1", "i-2", "i-3"], record.clone());
    let doors = Group::start(settings("contracts"), &["i-4", "i-5", "i-3"], record.clone());
    doors.set_stopped(MOVED);
    let (first, second) = (halls.clone(), doors.clone());
    let platform = Platform::start(Box::new(move |request| match request.service.as_str() {
        "bookings" => first.promote(&request.member),
        _ => second.promote(&request.member),
    }));
    platform.put("op", "config", &manifest());
    halls.register(&platform);
    doors.register(&platform);
    let Some(fleet) = Fleet::start(3, &platform) else {
        return Verdict::NotRun("the instances did not become ready".to_owned());
    };
    let callers = fleet.callers();
    let is_over = Arc::new(AtomicBool::new(false));
    let start = |number: usize| {
        let (address, record, is_over) =
            (callers[number % callers.len()], record.clone(), is_over.clone());
        thread::spawn(move || read(address, &record, &is_over))
    };
    let consumers: Vec<_> = (0..CONSUMERS).map(start).collect();
    thread::sleep(CALM_TIME);
    halls.crash(MOVED);
    if has_trouble {
        thread::sleep(DOWN_TIME);
        doors.start_member(MOVED);
        record.line("member=i-3 starts in the service contracts");
    }
    thread::sleep(AFTERWARDS);
    is_over.store(true, Ordering::Relaxed);
    let mut sent = HashSet::new();
    for consumer in consumers {
        sent.extend(consumer.join().unwrap_or_default());
    }
    let arrivals = doors.arrivals();
    let wrong: Vec<_> = arrivals.iter().filter(|run| sent.contains(&run.id)).collect();
    match wrong.first() {
        None => Verdict::Held,
        Some(run) => Verdict::Broken(format!(
            "ROUTE: {} of {} reads of the database halls ran at member {} of the service contracts, \
             the first with id={}",
            wrong.len(),
            sent.len(),
            run.member,
            run.id
        )),
    }
}
