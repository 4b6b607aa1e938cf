//! A replica that cannot reach the store confirms commits, and the primary crashes.
//!
//! The service has `sync_replicas` 1. An acknowledged commit must be in the log of the member that is
//! promoted.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::caller::Caller;
use crate::gateway::Fleet;
use crate::member::{Group, GroupSettings};
use crate::platform::Platform;
use crate::record::Record;

const SERVICE: &str = "bookings";
const DATABASE: &str = "halls";
const KEY: &str = "key-ghent";
const NAMES: [&str; 3] = ["i-1", "i-2", "i-3"];
/// Services without requests, as in a small installation with three databases.
const OTHERS: [(&str, [&str; 3]); 2] =
    [("contracts", ["i-4", "i-5", "i-6"]), ("visits", ["i-7", "i-8", "i-9"])];
const PRIMARY: usize = 0;
/// Replica that falls behind.
const LAGGING: usize = 1;
/// Replica that is cut from the store.
const CUT: usize = 2;
const CONSUMERS: usize = 3;
/// Pause of a consumer between two writes.
const WRITE_PAUSE: Duration = Duration::from_millis(40);
/// Time before the replica is cut from the store.
const CALM_TIME: Duration = Duration::from_millis(2_000);
/// Time from the cut until the other replica falls behind.
const CUT_TIME: Duration = Duration::from_millis(13_200);
/// Time from then until the primary crashes.
const LAG_TIME: Duration = Duration::from_millis(1_500);
/// Delay with which the lagging replica receives commits.
const LAG: Duration = Duration::from_millis(4_000);
/// Time within which a member is promoted after the crash; a promotion may also be put off.
const PROMOTION_WAIT: Duration = Duration::from_millis(8_000);

fn manifest() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r\",\"host\":\"{DATABASE}\",\
         \"prefix\":\"/\",\"kind\":\"primary\",\"timeout_ms\":1500,\"target_latency_ms\":150,\
         \"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"max_connections\":23,\"sync_replicas\":1}},\
         {{\"name\":\"contracts\",\"max_connections\":23,\"sync_replicas\":1}},\
         {{\"name\":\"visits\",\"max_connections\":23,\"sync_replicas\":1}}],\
         \"limits\":{{\"transaction_idle_ms\":3000}},\"tenants\":[\
         {{\"name\":\"ghent\",\"api_keys\":[\"{KEY}\"],\"rate_per_s\":200,\"burst\":200}}]}}"
    )
}

/// Writes until the case is over, and returns the data of the acknowledged writes.
fn write(
    number: usize,
    address: SocketAddr,
    record: &Arc<Record>,
    is_over: &AtomicBool,
) -> Vec<String> {
    let (mut acknowledged, mut count) = (Vec::new(), 0);
    while !is_over.load(Ordering::Relaxed) {
        if let Ok(mut caller) = Caller::open(address, DATABASE, KEY, record) {
            while !is_over.load(Ordering::Relaxed) {
                count += 1;
                let data = format!("data-{number}-{count}");
                if !caller.query(&format!("WRITE 1a{number} {data}")).is_success() {
                    break;
                }
                acknowledged.push(data);
                thread::sleep(WRITE_PAUSE);
            }
        }
        thread::sleep(WRITE_PAUSE);
    }
    acknowledged
}

/// Runs the case; without trouble all replicas reach the store.
pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let settings = GroupSettings {
        service: SERVICE,
        synchronous_replicas: 1,
        slots: 3,
        max_connections: 23,
        work: Duration::from_millis(6),
        replication_delay: Duration::from_millis(2),
    };
    let group = Group::start(settings, &NAMES, record.clone());
    let others = OTHERS.map(|(service, names)| {
        Group::start(GroupSettings { service, ..settings }, &names, record.clone())
    });
    let promoted = group.clone();
    let platform = Platform::start(Box::new(move |request| promoted.promote(&request.member)));
    platform.put("op", "config", &manifest());
    for group in others.iter().chain([&group]) {
        group.register(&platform);
    }
    let Some(fleet) = Fleet::start(3, &platform) else {
        return Verdict::NotRun("the instances did not become ready".to_owned());
    };
    let callers = fleet.callers();
    let is_over = Arc::new(AtomicBool::new(false));
    let start = |number: usize| {
        let (address, record, is_over) =
            (callers[number % callers.len()], record.clone(), is_over.clone());
        thread::spawn(move || write(number, address, &record, &is_over))
    };
    let consumers: Vec<_> = (0..CONSUMERS).map(start).collect();
    thread::sleep(CALM_TIME);
    if has_trouble {
        group.cut_from_store(CUT);
        record.line(&format!("member={} is cut from the store", NAMES[CUT]));
    }
    thread::sleep(CUT_TIME);
    record.line(&format!("in the store={}", platform.has_row("servers", NAMES[CUT])));
    group.set_receive_delay(LAGGING, LAG);
    record.line(&format!("member={} falls behind", NAMES[LAGGING]));
    thread::sleep(LAG_TIME);
    group.crash(PRIMARY);
    record.line(&format!("member={} crashes", NAMES[PRIMARY]));
    let crashed_at = Instant::now();
    while group.promotions().is_empty() && crashed_at.elapsed() < PROMOTION_WAIT {
        thread::sleep(Duration::from_millis(20));
    }
    is_over.store(true, Ordering::Relaxed);
    let written: Vec<Vec<String>> =
        consumers.into_iter().map(|consumer| consumer.join().unwrap_or_default()).collect();
    let promotions = group.promotions();
    let Some((promoted_at, member, log)) = promotions.first() else {
        record.line("no member was promoted");
        return Verdict::Held;
    };
    let log: HashSet<&String> = log.iter().collect();
    // What the new primary has acknowledged does not count.
    let crashed_log: HashSet<String> = group.crashed_log().into_iter().collect();
    let acknowledged = written.iter().flatten().filter(|data| crashed_log.contains(*data));
    let lost: Vec<&String> = acknowledged.filter(|data| !log.contains(data)).collect();
    record.line(&format!(
        "promoted {member} {:?} after the crash, log={} of {}",
        promoted_at.saturating_duration_since(crashed_at),
        log.len(),
        crashed_log.len()
    ));
    match lost.first() {
        None => Verdict::Held,
        Some(first) => Verdict::Broken(format!(
            "LOST: {} acknowledged commits are not in the log of the promoted member {member}, the \
             first is {first}",
            lost.len()
        )),
    }
}
