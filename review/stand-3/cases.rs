//! Runs of the cases.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::Session;
use crate::gateway::{Gateway, GatewaySettings, Network, wait_until_ready};
use crate::group::Group;
use crate::store::{Platform, PromotionFate};
use crate::{Random, Recorder, member, sleep_ms};

const SERVICE: &str = "ledger";
const DATABASE: &str = "bookings";
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// What a run found: descriptions of breaks of the rule, or the reason why it could not run.
pub type RunResult = Result<Vec<String>, String>;

pub fn run(case: &str, has_trouble: bool, program: &Path, recorder: &Recorder) -> RunResult {
    match case {
        "late-promotion" => {
            synchronous_writes(PromotionTrouble::HoldLost, has_trouble, program, recorder)
        }
        "cut-replica" => {
            synchronous_writes(PromotionTrouble::ReplicaCut, has_trouble, program, recorder)
        }
        "used-token" => {
            synchronous_writes(PromotionTrouble::StoreBusy, has_trouble, program, recorder)
        }
        "other-part" => other_part(has_trouble, program, recorder),
        "hidden-commits" => hidden_commits(has_trouble, program, recorder),
        "first-start" => first_start(has_trouble, program, recorder),
        _ => Err(format!("unknown case {case}")),
    }
}

/// Environment of a run: platform, one service and instances of the system.
struct Environment {
    platform: Arc<Platform>,
    group: Arc<Group>,
    gateways: Vec<Gateway>,
    folder: PathBuf,
    store: SocketAddr,
    cloud: SocketAddr,
}

impl Drop for Environment {
    fn drop(&mut self) {
        self.gateways.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Tenant with its limit.
struct Tenant {
    name: &'static str,
    rate: u64,
    burst: u64,
}

struct Deployment<'a> {
    instances: u8,
    members: &'a [(&'a str, u64)],
    synchronous_replicas: usize,
    work: Duration,
    slots: usize,
    delivers_sent: bool,
    kind: &'a str,
    timeout_ms: u64,
    target_ms: u64,
    tenants: &'a [Tenant],
}

impl Deployment<'_> {
    fn manifest(&self, version: u64) -> String {
        let tenant = |tenant: &Tenant| {
            format!(
                "{{\"name\":\"{name}\",\"api_keys\":[\"key-{name}\"],\"priority\":1,\
                 \"rate_per_s\":{},\"burst\":{}}}",
                tenant.rate,
                tenant.burst,
                name = tenant.name
            )
        };
        let tenants: Vec<String> = self.tenants.iter().map(tenant).collect();
        format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{DATABASE}\",\
             \"prefix\":\"/\",\"kind\":\"{}\",\"timeout_ms\":{},\"target_latency_ms\":{},\
             \"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":2,\
             \"max_staleness_ms\":1500,\"public\":false}}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"health_path\":\"/health\",\"max_connections\":{},\"protocol\":\"h1\",\"tls\":false,\
             \"sync_replicas\":{}}}],\"limits\":{{\"transaction_idle_ms\":3000}},\"tenants\":[{}]}}",
            self.kind,
            self.timeout_ms,
            self.target_ms,
            member::MAX_CONNECTIONS,
            self.synchronous_replicas,
            tenants.join(",")
        )
    }

    fn start(&self, program: &Path, recorder: &Recorder) -> Result<Environment, String> {
        let text = |error: std::io::Error| error.to_string();
        let network = Network::new();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(text)?;
        let (store, cloud) = (network.address(200, 8466), network.address(201, 8466));
        let member = |index: usize| {
            let (id, delay) = self.members[index];
            (id, network.address(100 + index as u8, 8080), ZONES[index], delay)
        };
        let members: Vec<_> = (0..self.members.len()).map(member).collect();
        let group = Group::new(
            SERVICE,
            &members,
            self.synchronous_replicas,
            (self.work, self.slots, self.delivers_sent),
            recorder,
        );
        let platform = Platform::new(vec![group.clone()], recorder);
        platform.serve(store, cloud).map_err(text)?;
        platform.put("op", "config", Some(&self.manifest(7)));
        member::serve(&group, &platform).map_err(text)?;
        let mut environment =
            Environment { platform, group, gateways: Vec::new(), folder, store, cloud };
        for host in 1..=self.instances {
            let zone = ZONES[usize::from(host - 1) % ZONES.len()];
            let (store, cloud) = (environment.store, environment.cloud);
            let settings = GatewaySettings { network, host, zone, first_start: true, store, cloud };
            let gateway = Gateway::start(program, &environment.folder, &settings).map_err(text)?;
            recorder.line(&format!(
                "{} started at {}, process {}",
                gateway.name,
                gateway.address,
                gateway.process()
            ));
            environment.gateways.push(gateway);
        }
        wait_until_ready(&environment.gateways)?;
        recorder.line("all instances are ready");
        Ok(environment)
    }
}

impl Environment {
    /// Copies the events of the instances that say what they decided.
    fn record_logs(&self, recorder: &Recorder, words: &[&str]) {
        for gateway in &self.gateways {
            for line in gateway.log().lines() {
                if words.iter().any(|word| line.contains(word)) {
                    recorder.line(&format!("log of {}: {line}", gateway.name));
                }
            }
        }
    }

    fn check_processes(&mut self) -> Result<(), String> {
        for gateway in &mut self.gateways {
            if gateway.has_ended() {
                return Err(format!("{} ended by itself", gateway.name));
            }
        }
        Ok(())
    }
}

/// What happens while writes of a service with a synchronous replica go on. In the first two an order to
/// promote is carried out late, after the member that it replaces is back.
#[derive(Clone, Copy, PartialEq)]
enum PromotionTrouble {
    /// The replica that was held for it starts again.
    HoldLost,
    /// The store refuses all calls for a while.
    StoreBusy,
    /// No order is late: a replica is cut off from the machines of the system and from the store, not
    /// from the primary, until its entry has been away for ten seconds and the primary crashes.
    ReplicaCut,
}

/// Writes go on through a promotion; no acknowledged one may be missing afterwards.
fn synchronous_writes(
    order: PromotionTrouble,
    has_trouble: bool,
    program: &Path,
    recorder: &Recorder,
) -> RunResult {
    let is_replica_cut = order == PromotionTrouble::ReplicaCut;
    let deployment = Deployment {
        instances: 3,
        members: &[("i-a", 0), ("i-b", 1), ("i-c", if is_replica_cut { 6 } else { 20 })],
        synchronous_replicas: 1,
        work: Duration::from_millis(if is_replica_cut { 10 } else { 4 }),
        slots: if is_replica_cut { 6 } else { 4 },
        delivers_sent: !is_replica_cut,
        kind: "primary",
        timeout_ms: 1_500,
        target_ms: 300,
        tenants: &[Tenant { name: "north", rate: 2_000, burst: 2_000 }],
    };
    let mut environment = deployment.start(program, recorder)?;
    sleep_ms(3_000);
    let acknowledged = Arc::new(Mutex::new(Vec::<(Instant, String)>::new()));
    let (is_over, number) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(1)));
    let addresses: Vec<SocketAddr> =
        environment.gateways.iter().map(|gateway| gateway.address).collect();
    let mut consumers = Vec::new();
    for consumer in 0..(if is_replica_cut { 24 } else { 6 }) {
        let address = addresses[consumer % addresses.len()];
        let (acknowledged, is_over) = (acknowledged.clone(), is_over.clone());
        let (number, recorder) = (number.clone(), recorder.clone());
        consumers.push(std::thread::spawn(move || {
            let mut random = Random::new(consumer as u64 + 1);
            while !is_over.load(Ordering::Relaxed) {
                let Ok(mut session) = Session::open(address, DATABASE, "key-north") else {
                    sleep_ms(100);
                    continue;
                };
                while !is_over.load(Ordering::Relaxed) {
                    let id = format!("w{}", number.fetch_add(1, Ordering::Relaxed));
                    let answer = session.query(&id, &format!("WRITE item-{id} data-{id}"));
                    match answer {
                        Ok(answer) => match &answer.outcome {
                            Ok(digest) => {
                                recorder
                                    .line(&format!("consumer {consumer}: {id} COMPLETE {digest}"));
                                acknowledged.lock().unwrap().push((Instant::now(), id));
                            }
                            Err(error) => {
                                recorder.line(&format!("consumer {consumer}: {id} ERROR {error}"));
                                sleep_ms(50);
                            }
                        },
                        Err(cause) => {
                            recorder.line(&format!("consumer {consumer}: {id} no answer: {cause}"));
                            break;
                        }
                    }
                    sleep_ms(if is_replica_cut { random.below(9) } else { 10 });
                }
            }
        }));
    }
    sleep_ms(2_000);
    if has_trouble && is_replica_cut {
        environment.group.set_cut(1, true);
        sleep_ms(14_200);
        environment.group.crash(0);
        sleep_ms(1_800);
        environment.group.set_cut(1, false);
        sleep_ms(5_200);
        environment.group.restart(0);
        sleep_ms(1_000);
    } else if has_trouble {
        *environment.platform.fates.lock().unwrap() =
            vec![PromotionFate::Late(Duration::from_secs(6))];
        environment.group.crash(0);
        sleep_ms(700);
        environment.group.restart(0);
        match order {
            PromotionTrouble::HoldLost => {
                environment.group.crash(1);
                sleep_ms(700);
                environment.group.restart(1);
                sleep_ms(8_600);
            }
            PromotionTrouble::ReplicaCut => {}
            PromotionTrouble::StoreBusy => {
                environment.platform.is_busy.store(true, Ordering::Relaxed);
                recorder.line("the store answers 503");
                sleep_ms(4_500);
                environment.platform.is_busy.store(false, Ordering::Relaxed);
                recorder.line("the store answers again");
                sleep_ms(4_800);
            }
        }
    } else {
        sleep_ms(if is_replica_cut { 22_200 } else { 10_000 });
    }
    is_over.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    environment.check_processes()?;
    // What consumers see afterwards.
    sleep_ms(1_500);
    let mut gone = Vec::new();
    let acknowledged = acknowledged.lock().unwrap().clone();
    let mut session = Session::open(addresses[0], DATABASE, "key-north")?;
    for (at, id) in acknowledged.iter().rev().take(300) {
        let answer = session.query(&format!("r{id}"), &format!("READ item-{id}"))?;
        if answer.outcome.is_ok() && answer.rows.is_empty() {
            recorder.line(&format!(
                "READ item-{id}: no row, acknowledged {:.3} s ago",
                at.elapsed().as_secs_f64()
            ));
            gone.push(id.clone());
        }
    }
    environment.record_logs(recorder, &["HB50", "promotion", "replication"]);
    let lost: Vec<String> = {
        let state = environment.group.lock();
        let was_answered = |id: &String| acknowledged.iter().any(|(_, known)| known == id);
        let lost = state.lost.iter().filter(|(_, _, id)| was_answered(id));
        lost.map(|(term, number, id)| format!("{term}.{number} of {id}")).collect()
    };
    recorder.line(&format!(
        "{} writes acknowledged to consumers; {} of them not in the log of a promoted member; {} \
         not found by a read",
        acknowledged.len(),
        lost.len(),
        gone.len()
    ));
    if acknowledged.len() < 100 {
        return Err("too few writes were acknowledged".to_owned());
    }
    let describe = |id: &String| format!("acknowledged commit {id} is not in the promoted log");
    Ok(lost.iter().map(describe).collect())
}

/// Case of the limit: the quota owner of a team is killed soon after the first start.
fn first_start(has_trouble: bool, program: &Path, recorder: &Recorder) -> RunResult {
    const RATE: u64 = 20;
    const BURST: u64 = 300;
    const WINDOW: Duration = Duration::from_secs(5);
    let tenants: Vec<Tenant> = ["north", "south", "east", "west"]
        .into_iter()
        .map(|name| Tenant { name, rate: RATE, burst: BURST })
        .collect();
    let deployment = Deployment {
        instances: 9,
        members: &[("i-a", 0), ("i-b", 5), ("i-c", 5)],
        synchronous_replicas: 0,
        work: Duration::from_millis(2),
        slots: 4,
        delivers_sent: true,
        kind: "bounded_staleness",
        timeout_ms: 1_500,
        target_ms: 400,
        tenants: &tenants,
    };
    let mut environment = deployment.start(program, recorder)?;
    // Traffic starts 10 s after the machines do.
    sleep_ms(10_000);
    let is_over = Arc::new(AtomicBool::new(false));
    let addresses: Vec<SocketAddr> =
        environment.gateways.iter().map(|gateway| gateway.address).collect();
    let sent = Arc::new(Mutex::new(Vec::<(String, Instant)>::new()));
    let mut consumers = Vec::new();
    for consumer in 0..24_usize {
        let tenant = tenants[consumer % tenants.len()].name;
        let (addresses, is_over, sent) = (addresses.clone(), is_over.clone(), sent.clone());
        let recorder = recorder.clone();
        consumers.push(std::thread::spawn(move || {
            let mut random = Random::new(consumer as u64 + 1);
            let mut number = 0;
            while !is_over.load(Ordering::Relaxed) {
                let address = addresses[random.below(addresses.len() as u64) as usize];
                let Ok(mut session) = Session::open(address, DATABASE, &format!("key-{tenant}"))
                else {
                    sleep_ms(20);
                    continue;
                };
                for _ in 0..40 {
                    if is_over.load(Ordering::Relaxed) {
                        break;
                    }
                    number += 1;
                    let id = format!("{tenant}-{consumer}-{number}");
                    sent.lock().unwrap().push((id.clone(), Instant::now()));
                    match session.query(&id, "READ item-1") {
                        Ok(answer) if answer.outcome.is_ok() => sleep_ms(5),
                        Ok(answer) => {
                            let refusal = answer.outcome.unwrap_err();
                            recorder.line(&format!("{id} READ item-1: ERROR {refusal}"));
                            sleep_ms(50 + random.below(20));
                        }
                        Err(cause) => {
                            recorder.line(&format!("{id} READ item-1: no answer: {cause}"));
                            break;
                        }
                    }
                }
            }
        }));
    }
    let victim = 4;
    sleep_ms(2_500);
    if has_trouble {
        recorder.line(&format!("{} is killed", environment.gateways[victim].name));
        environment.gateways[victim].kill();
        sleep_ms(3_500);
        environment.gateways[victim].restart().map_err(|error| error.to_string())?;
        sleep_ms(3_000);
    } else {
        sleep_ms(6_500);
    }
    is_over.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    environment.check_processes()?;
    let sent: std::collections::HashMap<String, Instant> = sent.lock().unwrap().drain(..).collect();
    let allowed = (RATE as f64 * WINDOW.as_secs_f64() + BURST as f64) * 1.1 + 20.0;
    let mut broken = Vec::new();
    let state = environment.group.lock();
    let start = recorder.seconds();
    let now = Instant::now();
    for tenant in &tenants {
        // Times of sending and of running; a request counts in windows that hold both.
        let mut runs: Vec<(Instant, Instant)> = state
            .runs
            .iter()
            .filter(|run| run.tenant == tenant.name)
            .filter_map(|run| Some((*sent.get(&run.request_id)?, run.at)))
            .collect();
        for run in state.runs.iter().filter(|run| run.tenant == tenant.name) {
            if let Some(sent_at) = sent.get(&run.request_id) {
                let seconds = |at: &Instant| start - now.duration_since(*at).as_secs_f64();
                recorder.line(&format!(
                    "{} sent {:.4}, run {:.4}",
                    run.request_id,
                    seconds(sent_at),
                    seconds(&run.at)
                ));
            }
        }
        runs.sort_by_key(|(_, at)| *at);
        let count_from = |from: Instant| {
            let inside = |(sent_at, at): &&(Instant, Instant)| {
                *sent_at >= from && at.duration_since(from) <= WINDOW
            };
            runs.iter().filter(|(_, at)| *at >= from).filter(inside).count()
        };
        let most = runs.iter().map(|(sent_at, _)| (count_from(*sent_at), *sent_at)).max();
        let Some((count, from)) = most else {
            return Err(format!("nothing of tenant {} ran", tenant.name));
        };
        let at = start - now.duration_since(from).as_secs_f64();
        recorder.line(&format!(
            "tenant {}: {} requests run, at most {count} in a window of 5 s, from {at:.3} s; \
             allowed {allowed}",
            tenant.name,
            runs.len()
        ));
        if count as f64 > allowed {
            broken.push(format!(
                "{count} requests of tenant {} ran in 5 s, {allowed} are allowed",
                tenant.name
            ));
        }
    }
    Ok(broken)
}

/// The operator keeps a draft of the next manifest in the table `op`, in a part of its own.
fn other_part(has_trouble: bool, program: &Path, recorder: &Recorder) -> RunResult {
    let tenants = [
        Tenant { name: "north", rate: 200, burst: 200 },
        Tenant { name: "south", rate: 200, burst: 200 },
    ];
    let mut deployment = Deployment {
        instances: 3,
        members: &[("i-a", 0), ("i-b", 5), ("i-c", 5)],
        synchronous_replicas: 0,
        work: Duration::from_millis(4),
        slots: 4,
        delivers_sent: true,
        kind: "primary",
        timeout_ms: 1_500,
        target_ms: 300,
        tenants: &tenants[..1],
    };
    let mut environment = deployment.start(program, recorder)?;
    sleep_ms(3_000);
    let addresses: Vec<SocketAddr> =
        environment.gateways.iter().map(|gateway| gateway.address).collect();
    let ask = |key: &str, id: &str| -> Result<String, String> {
        let mut outcomes = Vec::new();
        for (index, address) in addresses.iter().enumerate() {
            let outcome = match Session::open(*address, DATABASE, key) {
                Ok(mut session) => {
                    let answer = session.query(&format!("{id}-{index}"), "READ item-1")?;
                    answer
                        .outcome
                        .map_or_else(|e| format!("ERROR {e}"), |d| format!("COMPLETE {d}"))
                }
                Err(refusal) => refusal,
            };
            recorder.line(&format!("consumer with {key} at frontend-{}: {outcome}", index + 1));
            outcomes.push(outcome);
        }
        Ok(outcomes.join("; "))
    };
    ask("key-north", "n1")?;
    ask("key-south", "s1")?;
    if has_trouble {
        // The draft adds a tenant. It is no manifest: `op/config` stays as it is.
        deployment.tenants = &tenants;
        let draft = deployment.manifest(8);
        environment.platform.put_in_part("op", "draft", "config", Some(&draft));
        recorder.line("a row of table op, part draft, key config is written");
    }
    for round in 2..6 {
        sleep_ms(1_500);
        ask("key-north", &format!("n{round}"))?;
        ask("key-south", &format!("s{round}"))?;
    }
    environment.check_processes()?;
    environment.record_logs(recorder, &["document"]);
    let state = environment.group.lock();
    let run = state.runs.iter().filter(|run| run.tenant == "south");
    let mut broken = Vec::new();
    for run in run {
        recorder.line(&format!("member ran {} of tenant {}", run.request_id, run.tenant));
        broken.push(format!("{} ran, whose key no manifest ever held", run.request_id));
    }
    Ok(broken)
}

/// Commits that are hidden while another member leads, and come back with their primary.
fn hidden_commits(has_trouble: bool, program: &Path, recorder: &Recorder) -> RunResult {
    let deployment = Deployment {
        instances: 3,
        members: &[("i-a", 0), ("i-b", 8)],
        synchronous_replicas: 0,
        work: Duration::from_millis(4),
        slots: 4,
        delivers_sent: false,
        kind: "primary",
        timeout_ms: 1_500,
        target_ms: 300,
        tenants: &[Tenant { name: "north", rate: 2_000, burst: 2_000 }],
    };
    let mut environment = deployment.start(program, recorder)?;
    sleep_ms(3_000);
    let addresses: Vec<SocketAddr> =
        environment.gateways.iter().map(|gateway| gateway.address).collect();
    let acknowledged = Arc::new(Mutex::new(Vec::<(Instant, String)>::new()));
    let is_writing = Arc::new(AtomicBool::new(true));
    let mut writers = Vec::new();
    for consumer in 0..4_usize {
        let address = addresses[consumer % addresses.len()];
        let (acknowledged, is_writing) = (acknowledged.clone(), is_writing.clone());
        let recorder = recorder.clone();
        writers.push(std::thread::spawn(move || {
            let Ok(mut session) = Session::open(address, DATABASE, "key-north") else {
                return;
            };
            let mut number = 0;
            while is_writing.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("w{consumer}-{number}");
                match session.query(&id, &format!("WRITE item-{id} data-{id}")) {
                    Ok(answer) => {
                        recorder.line(&format!("consumer {consumer}: {id} {:?}", answer.outcome));
                        if answer.outcome.is_ok() {
                            acknowledged.lock().unwrap().push((Instant::now(), id));
                        }
                    }
                    Err(cause) => {
                        recorder.line(&format!("consumer {consumer}: {id} no answer: {cause}"));
                        return;
                    }
                }
                sleep_ms(5);
            }
        }));
    }
    sleep_ms(2_000);
    // The writers have done their work; from now on consumers only read.
    if has_trouble {
        environment.group.crash(0);
    }
    is_writing.store(false, Ordering::Relaxed);
    for writer in writers {
        let _ = writer.join();
    }
    let last: Vec<String> = {
        let acknowledged = acknowledged.lock().unwrap();
        acknowledged.iter().rev().take(12).map(|(_, id)| id.clone()).collect()
    };
    let mut broken = Vec::new();
    // Reads that found no row, by item.
    let mut missed: Vec<(String, String, f64)> = Vec::new();
    let started_at = Instant::now();
    let (mut has_crashed, mut is_back) = (false, false);
    let mut round = 0;
    while started_at.elapsed() < Duration::from_millis(14_000) {
        if has_trouble && !has_crashed && started_at.elapsed() > Duration::from_millis(5_000) {
            let leader = environment.group.lock().leader;
            environment.group.crash(leader);
            has_crashed = true;
        }
        if has_trouble && !is_back && started_at.elapsed() > Duration::from_millis(7_000) {
            environment.group.restart(0);
            is_back = true;
        }
        round += 1;
        let address = addresses[round % addresses.len()];
        let Ok(mut session) = Session::open(address, DATABASE, "key-north") else {
            sleep_ms(50);
            continue;
        };
        for id in &last {
            let read = format!("r{round}-{id}");
            let sent_at = recorder.seconds();
            let Ok(answer) = session.query(&read, &format!("READ item-{id}")) else {
                break;
            };
            let Ok(digest) = answer.outcome else {
                recorder.line(&format!("{read}: ERROR {}", answer.outcome.unwrap_err()));
                sleep_ms(50);
                break;
            };
            let has_row = !answer.rows.is_empty();
            recorder.line(&format!("{read}: COMPLETE {digest}, row: {has_row}"));
            if !has_row {
                missed.push((id.clone(), read, sent_at));
            } else {
                for (_, read, sent_at) in missed.extract_if(.., |(missing, _, _)| missing == id) {
                    broken.push(format!(
                        "{read}, sent at {sent_at:.3} s, lacks the acknowledged commit {id}, which was \
                         not rolled back"
                    ));
                }
            }
        }
        sleep_ms(50);
    }
    environment.check_processes()?;
    recorder.line(&format!("{} reads without a row whose commit did not come back", missed.len()));
    environment.record_logs(recorder, &["promotion"]);
    Ok(broken)
}
