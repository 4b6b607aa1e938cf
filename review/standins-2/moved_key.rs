//! A key moves from one tenant to another while transactions of its consumers are open.
//!
//! Consumers of the other tenant, whose own key has not changed, write all the while. A member must run
//! their statements on connections that were opened for their tenant.

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

const SERVICE: &str = "bookings";
const DATABASE: &str = "halls";
/// Key that moves from the tenant `ghent` to the tenant `leuven`.
const MOVED_KEY: &str = "key-moved";
/// Key that the tenant `leuven` has all the while.
const LEUVEN_KEY: &str = "key-leuven";
/// Pause between two statements of a transaction; consumers pause between statements.
const PAUSE: Duration = Duration::from_millis(1_000);
/// Number of consumers of `leuven`.
const CONSUMERS: usize = 8;
/// Pause of such a consumer between two writes.
const WRITE_PAUSE: Duration = Duration::from_millis(30);
/// Time for which they go on after the transactions.
const AFTERWARDS: Duration = Duration::from_millis(3_000);

fn manifest(version: u64, has_moved: bool) -> String {
    let (ghent, leuven) = match has_moved {
        false => (format!("\"key-ghent\",\"{MOVED_KEY}\""), format!("\"{LEUVEN_KEY}\"")),
        true => ("\"key-ghent\"".to_owned(), format!("\"{LEUVEN_KEY}\",\"{MOVED_KEY}\"")),
    };
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r\",\"host\":\"{DATABASE}\",\
         \"prefix\":\"/\",\"kind\":\"primary\",\"timeout_ms\":1500,\"target_latency_ms\":150,\
         \"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"max_connections\":23,\"sync_replicas\":0}}],\
         \"limits\":{{\"transaction_idle_ms\":3000}},\"tenants\":[\
         {{\"name\":\"ghent\",\"api_keys\":[{ghent}],\"rate_per_s\":400,\"burst\":400}},\
         {{\"name\":\"leuven\",\"api_keys\":[{leuven}],\"rate_per_s\":400,\"burst\":400}}]}}"
    )
}

/// Writes with the key of `leuven` until the case is over, and returns the identifiers.
fn write_as_leuven(
    number: usize,
    address: SocketAddr,
    record: &Arc<Record>,
    is_over: &AtomicBool,
) -> Vec<String> {
    let mut sent = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        // A consumer whose operation fails closes its session and tries again.
        let Ok(mut caller) = Caller::open(address, DATABASE, LEUVEN_KEY, record) else {
            thread::sleep(WRITE_PAUSE);
            continue;
        };
        while !is_over.load(Ordering::Relaxed) {
            let answer = caller.query(&format!("WRITE 2b{number} data{number}"));
            sent.push(caller.last_id.clone());
            thread::sleep(WRITE_PAUSE);
            if !answer.is_success() {
                break;
            }
        }
    }
    sent
}

/// Runs the case; without trouble the second manifest moves no key.
pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let settings = GroupSettings {
        service: SERVICE,
        synchronous_replicas: 0,
        slots: 3,
        max_connections: 23,
        work: Duration::from_millis(6),
        replication_delay: Duration::from_millis(8),
    };
    let group = Group::start(settings, &["i-1", "i-2", "i-3"], record.clone());
    let promoted = group.clone();
    let platform = Platform::start(Box::new(move |request| promoted.promote(&request.member)));
    platform.put("op", "config", &manifest(1, false));
    group.register(&platform);
    let Some(fleet) = Fleet::start(3, &platform) else {
        return Verdict::NotRun("the instances did not become ready".to_owned());
    };
    let callers = fleet.callers();
    let is_over = Arc::new(AtomicBool::new(false));
    let write = |number: usize| {
        let (address, record, is_over) =
            (callers[number % callers.len()], record.clone(), is_over.clone());
        thread::spawn(move || write_as_leuven(number, address, &record, &is_over))
    };
    let consumers: Vec<_> = (0..CONSUMERS).map(write).collect();
    let mut moving = Vec::new();
    for address in &callers {
        let Ok(mut caller) = Caller::open(*address, DATABASE, MOVED_KEY, record) else {
            return Verdict::NotRun("a session was refused".to_owned());
        };
        if !caller.query("BEGIN").is_success() || !caller.query("WRITE 1a4 first").is_success() {
            return Verdict::NotRun("a transaction did not begin".to_owned());
        }
        moving.push(caller);
    }
    platform.put("op", "config", &manifest(2, has_trouble));
    record.line("acknowledged manifest=2");
    thread::sleep(PAUSE);
    // The transactions may go on or be refused; neither is judged.
    for caller in &mut moving {
        caller.query("WRITE 1a5 second");
        caller.query("COMMIT");
    }
    thread::sleep(AFTERWARDS);
    is_over.store(true, Ordering::Relaxed);
    let mut sent = HashSet::new();
    for consumer in consumers {
        sent.extend(consumer.join().unwrap_or_default());
    }
    let arrivals = group.arrivals();
    let judged: Vec<_> = arrivals.iter().filter(|run| sent.contains(&run.id)).collect();
    if judged.is_empty() {
        return Verdict::NotRun("no statement of the other tenant reached a member".to_owned());
    }
    let foreign: Vec<_> = judged.iter().filter(|run| run.tenant != "leuven").collect();
    match foreign.first() {
        None => Verdict::Held,
        Some(run) => Verdict::Broken(format!(
            "UNASKED: {} of {} statements of consumers of leuven ran for another tenant, the first \
             with id={} for {}",
            foreign.len(),
            judged.len(),
            run.id,
            run.tenant
        )),
    }
}
