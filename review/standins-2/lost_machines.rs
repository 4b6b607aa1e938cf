//! Machines are added and lost for good without a planned stop, one after the other.
//!
//! No case: no rule sets a bound on it. It records which share of the requests within the limit of a tenant is
//! served afterwards.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
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
const GATEWAYS: usize = 3;
/// Machines that are added and lost.
const LOST_MACHINES: usize = 12;
/// Time after which instances forget one that is not live, and some more.
const FORGET_TIME: Duration = Duration::from_millis(24_000);
/// Pause of a consumer between two writes.
const PAUSE: Duration = Duration::from_millis(100);
const CONSUMERS: usize = 6;
/// Time for which consumers write.
const RUN_TIME: Duration = Duration::from_millis(50_000);
/// Interval between two lines of the record.
const REPORT_INTERVAL: Duration = Duration::from_millis(2_000);

fn manifest() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r\",\"host\":\"{DATABASE}\",\
         \"prefix\":\"/\",\"kind\":\"primary\",\"timeout_ms\":800,\"target_latency_ms\":120,\
         \"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"max_connections\":34,\"sync_replicas\":0}}],\
         \"limits\":{{\"transaction_idle_ms\":3000}},\"tenants\":[\
         {{\"name\":\"ghent\",\"api_keys\":[\"{KEY}\"],\"rate_per_s\":115,\"burst\":115}}]}}"
    )
}

/// Requests since the last line of the record.
#[derive(Default)]
struct Counts {
    asked: AtomicUsize,
    served: AtomicUsize,
}

/// Writes until the case is over.
fn write(
    number: usize,
    addresses: &[SocketAddr],
    record: &Arc<Record>,
    counts: &Counts,
    is_over: &AtomicBool,
) {
    let address = addresses[number % addresses.len()];
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut caller) = Caller::open(address, DATABASE, KEY, record) else {
            counts.asked.fetch_add(1, Ordering::Relaxed);
            thread::sleep(PAUSE);
            continue;
        };
        while !is_over.load(Ordering::Relaxed) {
            let answer = caller.query(&format!("WRITE 1a{number} data{number}"));
            counts.asked.fetch_add(1, Ordering::Relaxed);
            if answer.is_success() {
                counts.served.fetch_add(1, Ordering::Relaxed);
            }
            thread::sleep(PAUSE);
            if !answer.is_success() {
                break;
            }
        }
    }
}

/// Runs the measurement; without trouble no machine is lost.
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
    platform.put("op", "config", &manifest());
    group.register(&platform);
    let Some(mut fleet) = Fleet::start_of(GATEWAYS + LOST_MACHINES, GATEWAYS, &platform) else {
        return Verdict::NotRun("the instances did not become ready".to_owned());
    };
    if has_trouble {
        for gateway in &mut fleet.gateways[GATEWAYS..] {
            if gateway.start(&platform).is_err() {
                return Verdict::NotRun("a process could not be started".to_owned());
            }
            let started_at = Instant::now();
            while !gateway.is_ready() && started_at.elapsed() < Duration::from_secs(5) {
                thread::sleep(Duration::from_millis(20));
            }
            gateway.kill();
            record.line(&format!("lost address={}", gateway.caller_address()));
        }
    }
    thread::sleep(FORGET_TIME);
    let callers: Vec<_> = fleet.callers()[..GATEWAYS].to_vec();
    let (counts, is_over) = (Arc::new(Counts::default()), Arc::new(AtomicBool::new(false)));
    for number in 0..CONSUMERS {
        let (callers, record, counts, is_over) =
            (callers.clone(), record.clone(), counts.clone(), is_over.clone());
        thread::spawn(move || write(number, &callers, &record, &counts, &is_over));
    }
    let (mut all_asked, mut all_served) = (0, 0);
    let started_at = Instant::now();
    while started_at.elapsed() < RUN_TIME {
        thread::sleep(REPORT_INTERVAL);
        let asked = counts.asked.swap(0, Ordering::Relaxed);
        let served = counts.served.swap(0, Ordering::Relaxed);
        record.line(&format!("served {served} of {asked}"));
        (all_asked, all_served) = (all_asked + asked, all_served + served);
    }
    is_over.store(true, Ordering::Relaxed);
    Verdict::NotRun(format!("no case; served {all_served} of {all_asked} requests"))
}
