//! A primary announces that it is leaving while the promotion service is down, and a tenant sends many
//! times its usual.
//!
//! A request that reaches the primary later than `drain_ms` after the acknowledgement breaks the rule. The
//! primary ends a little later, and with it what it still runs.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::caller::Caller;
use crate::gateway::{DRAIN, Fleet};
use crate::member::{Group, GroupSettings};
use crate::platform::Platform;
use crate::record::Record;

const SERVICE: &str = "bookings";
const DATABASE: &str = "halls";
const KEY: &str = "key-ghent";
const NAMES: [&str; 3] = ["i-1", "i-2", "i-3"];
/// Time for which a write occupies one of the three slots.
const WORK: Duration = Duration::from_millis(200);
/// Pause between two writes of the tenant, each by a consumer of its own.
const USUAL_PAUSE: Duration = Duration::from_millis(100);
/// Factor by which the tenant sends more than usual.
const HOT_FACTOR: f64 = 7.5;
/// Time from the acknowledgement until the tenant sends more.
const HOT_AFTER: Duration = Duration::from_millis(5_000);
/// Time for which it does.
const HOT_TIME: Duration = Duration::from_millis(600);
/// Time before the primary announces that it is leaving.
const CALM_TIME: Duration = Duration::from_millis(4_000);
/// Time for which the primary goes on after the drain bound.
const LEAVE_AFTER: Duration = Duration::from_millis(400);
/// Time for which answers are awaited afterwards.
const AFTERWARDS: Duration = Duration::from_millis(3_600);

fn manifest() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r\",\"host\":\"{DATABASE}\",\
         \"prefix\":\"/\",\"kind\":\"primary\",\"timeout_ms\":5000,\"target_latency_ms\":500,\
         \"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"max_connections\":23,\"sync_replicas\":0}}],\
         \"limits\":{{\"transaction_idle_ms\":3000}},\"tenants\":[\
         {{\"name\":\"ghent\",\"api_keys\":[\"{KEY}\"],\"rate_per_s\":115,\"burst\":115}}]}}"
    )
}

/// Identifiers of the writes that were answered with success.
type Successes = Arc<Mutex<HashSet<String>>>;

/// Lets consumers write, one after the other, until the case is over.
fn send(
    addresses: &[SocketAddr],
    record: &Arc<Record>,
    successes: &Successes,
    pause: &AtomicPause,
    is_over: &AtomicBool,
) {
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let (address, record) = (addresses[number % addresses.len()], record.clone());
        let successes = successes.clone();
        thread::spawn(move || {
            if let Ok(mut caller) = Caller::open(address, DATABASE, KEY, &record)
                && caller.query(&format!("WRITE 1a{number} data{number}")).is_success()
            {
                successes.lock().expect("no holder panics").insert(caller.last_id);
            }
        });
        thread::sleep(pause.get());
    }
}

/// Pause that changes while it is used.
struct AtomicPause(AtomicBool);

impl AtomicPause {
    fn get(&self) -> Duration {
        match self.0.load(Ordering::Relaxed) {
            true => USUAL_PAUSE.div_f64(HOT_FACTOR),
            false => USUAL_PAUSE,
        }
    }
}

/// Runs the case; without trouble the promotion service answers.
pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let settings = GroupSettings {
        service: SERVICE,
        synchronous_replicas: 0,
        slots: 3,
        max_connections: 23,
        work: WORK,
        replication_delay: Duration::from_millis(8),
    };
    let group = Group::start(settings, &NAMES, record.clone());
    let promoted = group.clone();
    let platform = Platform::start(Box::new(move |request| promoted.promote(&request.member)));
    platform.put("op", "config", &manifest());
    group.register(&platform);
    let Some(fleet) = Fleet::start(3, &platform) else {
        return Verdict::NotRun("the instances did not become ready".to_owned());
    };
    let callers = fleet.callers();
    let is_over = Arc::new(AtomicBool::new(false));
    let successes = Successes::default();
    let pause = Arc::new(AtomicPause(AtomicBool::new(false)));
    {
        let (record, pause, is_over) = (record.clone(), pause.clone(), is_over.clone());
        let successes = successes.clone();
        thread::spawn(move || send(&callers, &record, &successes, &pause, &is_over));
    }
    thread::sleep(CALM_TIME);
    if has_trouble {
        platform.stop_promotions();
        record.line("the promotion service is down");
    }
    let leaver = group.leader();
    let before = group.entries_written(leaver);
    group.set_draining(leaver);
    while group.entries_written(leaver) == before {
        thread::sleep(Duration::from_millis(1));
    }
    let acknowledged_at = Instant::now();
    record.line(&format!("acknowledged draining member={}", NAMES[leaver]));
    thread::sleep(HOT_AFTER);
    pause.0.store(true, Ordering::Relaxed);
    record.line("the tenant sends more than usual");
    thread::sleep(HOT_TIME);
    pause.0.store(false, Ordering::Relaxed);
    record.line("the tenant sends as usual");
    thread::sleep((DRAIN + LEAVE_AFTER).saturating_sub(acknowledged_at.elapsed()));
    group.crash(leaver);
    record.line(&format!("member={} has left", NAMES[leaver]));
    thread::sleep(AFTERWARDS);
    is_over.store(true, Ordering::Relaxed);
    let arrivals = group.arrivals();
    let at_leaver: Vec<_> = arrivals
        .iter()
        .filter(|run| run.member == NAMES[leaver] && !run.continues_transaction)
        .collect();
    let age = |at: Instant| at.saturating_duration_since(acknowledged_at);
    let late: Vec<_> = at_leaver.iter().filter(|run| age(run.at) > DRAIN).collect();
    let successes = successes.lock().expect("no holder panics");
    let unanswered = late.iter().filter(|run| !successes.contains(&run.id)).count();
    let last = at_leaver.iter().map(|run| age(run.at)).max().unwrap_or_default();
    record.line(&format!("last request reached the leaving member after {last:?}"));
    match late.len() {
        0 if at_leaver.is_empty() => Verdict::NotRun("no request reached the member".to_owned()),
        0 => Verdict::Held,
        count => Verdict::Broken(format!(
            "DRAIN: {count} requests reached the leaving member later than {DRAIN:?} after the \
             acknowledgement, the last one after {last:?}; {unanswered} of them got no success"
        )),
    }
}
