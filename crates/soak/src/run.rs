//! One run: starts everything, plays the faults of a seed, mends them, checks.

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rustix::process::Signal;
use serde_json::json;
use snafu::{ResultExt, Snafu};
use standin::gateway_platform::group::{GroupState, SharedGroup};
use standin::gateway_platform::member;
use standin::gateway_platform::row_store::RowStore;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::caller::{CALLER_KEY, SharedHistory, SoakCaller};
use crate::fault::{FaultAction, plan};
use crate::instance::{InstancePlace, InstanceProcess};
use crate::invariants::{CALLER_TEAM, judge};
use crate::relay::{FaultRelay, RelayMode};

/// Members of the group.
const MEMBERS: usize = 3;
/// Service of the run.
const SERVICE: &str = "bookings";
/// Time in which instances must serve after the last fault was mended; the users' bound.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time in which all instances must be up.
const START_TIME: Duration = Duration::from_secs(10);
/// Time in which a process must end after it was told to; its grace period and some more.
const STOP_TIME: Duration = Duration::from_secs(6);

/// Error that keeps a run from taking place.
#[derive(Debug, Snafu)]
pub enum SoakError {
    /// Files, sockets or processes cannot be had.
    #[snafu(display("the soak cannot run: {source}"))]
    Io {
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// The instances did not start.
    #[snafu(display("the instances did not serve within {} s", START_TIME.as_secs()))]
    NotStarted,
}

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Seed of faults and callers.
    pub seed: u64,
    /// Time during which faults begin.
    pub fault_period: Duration,
    /// Instances.
    pub instances: usize,
    /// Callers.
    pub callers: u32,
    /// Program of an instance.
    pub program: PathBuf,
    /// Folder for settings and logs; kept if a promise was broken.
    pub folder: PathBuf,
}

/// What a run brought.
#[derive(Debug)]
pub struct SoakReport {
    /// Promises that were broken.
    pub violations: Vec<String>,
    /// Faults that were played.
    pub faults: usize,
    /// Writes that were tried.
    pub writes: usize,
    /// Reads that were answered.
    pub reads: usize,
}

type SharedProcess = Arc<tokio::sync::Mutex<InstanceProcess>>;

/// Everything that runs.
struct SoakField {
    store: RowStore,
    group: SharedGroup,
    member_relays: Vec<FaultRelay>,
    store_relays: Vec<FaultRelay>,
    processes: Vec<SharedProcess>,
    failures: Mutex<Vec<String>>,
    version: Mutex<u64>,
}

/// Plays a seed.
pub async fn run(settings: &SoakSettings) -> Result<SoakReport, SoakError> {
    let field = Arc::new(SoakField::start(settings).await?);
    let addresses: Vec<_> = {
        let mut addresses = Vec::new();
        for process in &field.processes {
            addresses.push(process.lock().await.place.caller_address());
        }
        addresses
    };
    let history = SharedHistory::default();
    let (stop, stopped) = watch::channel(false);
    let mut callers = Vec::new();
    for number in 0..settings.callers {
        let caller = SoakCaller::new(number, settings.seed, addresses.clone(), history.clone());
        callers.push(tokio::spawn(caller.run(stopped.clone())));
    }
    let faults = plan(settings.seed, settings.fault_period, settings.instances, MEMBERS);
    let begun_at = Instant::now();
    let mut playing = Vec::new();
    for fault in &faults {
        sleep_until(begun_at + fault.at).await;
        let (field, fault) = (field.clone(), *fault);
        playing.push(tokio::spawn(async move { field.play(fault.action, fault.length).await }));
    }
    for fault in playing {
        if let Err(error) = fault.await {
            field.failures.lock().push(format!("a fault could not be played: {error}"));
        }
    }
    field.check_recovery(&addresses).await;
    stop.send_replace(true);
    for caller in callers {
        if let Err(error) = caller.await {
            field.failures.lock().push(format!("a caller ended: {error}"));
        }
    }
    field.stop().await;
    let history = history.lock();
    let mut broken = judge(&history, &field.group.lock(), &field.store.promotions());
    broken.extend(field.failures.lock().drain(..));
    let (writes, reads) = (history.writes.len(), history.reads);
    Ok(SoakReport { violations: broken, faults: faults.len(), writes, reads })
}

impl SoakField {
    async fn start(settings: &SoakSettings) -> Result<Self, SoakError> {
        let store = RowStore::default();
        let store_address = store.serve().await.context(IoSnafu)?;
        let ids: Vec<String> = (1..=MEMBERS).map(|number| format!("m-{number}")).collect();
        let names: Vec<&str> = ids.iter().map(String::as_str).collect();
        let group = GroupState::new(SERVICE, &names);
        store.register_group(group.clone());
        let mut member_relays = Vec::new();
        for index in 0..MEMBERS {
            let address = member::serve(group.clone(), index).await.context(IoSnafu)?;
            member_relays.push(FaultRelay::start(address).await.context(IoSnafu)?);
        }
        let [_, .., high, low] = settings.seed.to_be_bytes();
        let network = [127, high.wrapping_add(1).max(1), low];
        let base_port = free_base_port(network).context(IoSnafu)?;
        let (mut store_relays, mut processes) = (Vec::new(), Vec::new());
        for index in 0..settings.instances {
            let relay = FaultRelay::start(store_address).await.context(IoSnafu)?;
            let place = InstancePlace {
                number: u8::try_from(index + 1).unwrap_or(u8::MAX),
                network,
                zone: format!("zone-{}", index % 3),
                store: relay.address,
                base_port,
            };
            store_relays.push(relay);
            let process = InstanceProcess::new(place, &settings.program, &settings.folder);
            processes.push(Arc::new(tokio::sync::Mutex::new(process)));
        }
        let field = Self {
            store,
            group,
            member_relays,
            store_relays,
            processes,
            failures: Mutex::default(),
            version: Mutex::new(0),
        };
        field.write_document();
        field.register_members();
        for process in &field.processes {
            process.lock().await.start().context(IoSnafu)?;
        }
        let up = timeout(START_TIME, async {
            for process in &field.processes {
                let address = process.lock().await.place.caller_address();
                while !serves(address).await {
                    sleep(Duration::from_millis(50)).await;
                }
            }
        });
        up.await.map_err(|_| SoakError::NotStarted)?;
        Ok(field)
    }

    fn write_document(&self) {
        let mut version = self.version.lock();
        *version += 1;
        let route = |host: &str, kind: &str| {
            json!({
                "name": host, "host": host, "kind": kind, "service": SERVICE, "timeout_ms": 800,
                "target_latency_ms": 300, "priority": 1, "max_staleness_ms": 1_500, "public": false,
            })
        };
        let document = json!({
            "version": *version,
            "routes": [route("strict", "primary"), route("own", "read_your_writes")],
            "services": [{ "name": SERVICE, "max_connections": 20, "sync_replicas": 0 }],
            "limits": { "transaction_idle_ms": 3_000 },
            "tenants": [{
                "name": CALLER_TEAM, "api_keys": [CALLER_KEY], "rate_per_s": 2_000, "burst": 2_000,
            }],
        });
        self.store.put("op", "config", &document);
    }

    /// Registers the members as they see themselves, whenever that changed.
    fn register_members(&self) {
        let leader = self.group.lock().leader;
        for (index, relay) in self.member_relays.iter().enumerate() {
            let role = if index == leader { "primary" } else { "replica" };
            self.store.put(
                "servers",
                &format!("m-{}", index + 1),
                &json!({
                    "service": SERVICE, "address": relay.address.to_string(),
                    "zone": format!("zone-{index}"), "version": "v1", "slots": 3, "state": "ready",
                    "cold_remaining_ms": 0, "database_role": role, "sequence": 1, "born": 1,
                }),
            );
        }
    }

    /// Lets a fault begin and mends it.
    async fn play(&self, action: FaultAction, length: Duration) {
        match action {
            FaultAction::Pause(index) => {
                let process = self.processes[index].lock().await;
                self.note(process.signal(Signal::STOP));
                sleep(length).await;
                self.note(process.signal(Signal::CONT));
            }
            FaultAction::Kill(index) => self.restart(index, Signal::KILL).await,
            FaultAction::Terminate(index) => self.restart(index, Signal::TERM).await,
            FaultAction::MemberWay(index, mode) => {
                self.member_relays[index].set_mode(mode);
                sleep(length).await;
                self.member_relays[index].set_mode(RelayMode::Forward);
                // Bytes that were swallowed leave the connection useless.
                self.member_relays[index].reset();
            }
            FaultAction::MemberReset(index) => self.member_relays[index].reset(),
            FaultAction::MemberSilence(index) => self.member_relays[index].silence(),
            FaultAction::StoreWay(index, mode) => {
                self.store_relays[index].set_mode(mode);
                sleep(length).await;
                self.store_relays[index].set_mode(RelayMode::Forward);
            }
            FaultAction::StoreSilence(index) => self.store_relays[index].silence(),
            FaultAction::StoreDown => {
                self.store.set_unavailable(true);
                sleep(length).await;
                self.store.set_unavailable(false);
            }
            FaultAction::StoreCompact => self.store.compact_history(),
            FaultAction::MemberDark(index) => {
                self.misbehave(index, length, |faults, on| faults.unresponsive = on).await
            }
            FaultAction::MemberLags(index) => {
                self.misbehave(index, length, |faults, on| faults.replication_stopped = on).await
            }
            FaultAction::MemberLoses(index) => {
                self.misbehave(index, length, |faults, on| faults.loses_commit_responses = on)
                    .await;
            }
            FaultAction::MemberGrey(index) => {
                self.misbehave(index, length, |faults, on| faults.fails_reads = on).await;
            }
            FaultAction::Document => self.write_document(),
        }
        self.register_members();
    }

    async fn misbehave(
        &self,
        index: usize,
        length: Duration,
        set: impl Fn(&mut standin::gateway_platform::group::MemberFaults, bool),
    ) {
        set(&mut self.group.lock().members[index].faults, true);
        sleep(length).await;
        let mut group = self.group.lock();
        set(&mut group.members[index].faults, false);
        group.catch_up(index);
    }

    async fn restart(&self, index: usize, signal: Signal) {
        let mut process = self.processes[index].lock().await;
        self.note(process.signal(signal));
        if timeout(STOP_TIME, process.ended()).await.is_err() {
            self.failures
                .lock()
                .push(format!("instance {index} did not end within its grace period"));
        }
        sleep(Duration::from_millis(200)).await;
        self.note(process.start());
    }

    fn note(&self, done: std::io::Result<()>) {
        if let Err(error) = done {
            self.failures.lock().push(format!("a fault could not be played: {error}"));
        }
    }

    /// Checks that every instance serves a write again.
    async fn check_recovery(&self, addresses: &[std::net::SocketAddr]) {
        let begun_at = Instant::now();
        for address in addresses {
            while !serves(*address).await {
                self.register_members();
                if begun_at.elapsed() > RECOVERY_TIME {
                    self.failures
                        .lock()
                        .push(format!("{address} serves nothing after all is mended"));
                    break;
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
    }

    async fn stop(&self) {
        for process in &self.processes {
            let mut process = process.lock().await;
            if process.has_failed() {
                let number = process.place.number;
                self.failures.lock().push(format!("instance {number} ended by itself"));
            }
            self.note(process.signal(Signal::KILL));
            process.ended().await;
        }
    }
}

/// Tells whether an instance serves a read through the leader.
async fn serves(address: std::net::SocketAddr) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let asked = async {
        let mut stream = tokio::net::TcpStream::connect(address).await.ok()?;
        let text = format!("STARTUP strict {CALLER_KEY}\r\nQUERY p READ probe\r\n");
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut answer = String::new();
        let mut chunk = [0; 1_024];
        while !answer.contains("ERROR") && answer.matches("READY").count() < 2 {
            let read = stream.read(&mut chunk).await.ok().filter(|read| *read > 0)?;
            answer.push_str(&String::from_utf8_lossy(&chunk[..read]));
        }
        answer.contains("COMPLETE").then_some(())
    };
    timeout(Duration::from_secs(2), asked).await.ok().flatten().is_some()
}

/// Returns the first of three ports that are free on the addresses of the instances.
fn free_base_port([first, second, third]: [u8; 3]) -> std::io::Result<u16> {
    loop {
        let listener = std::net::TcpListener::bind((Ipv4Addr::new(first, second, third, 1), 0))?;
        let port = listener.local_addr()?.port();
        if port < u16::MAX - 3 {
            return Ok(port);
        }
    }
}

/// Returns the folder for a seed below `folder`.
pub fn seed_folder(folder: &Path, seed: u64) -> PathBuf {
    folder.join(format!("seed-{seed}"))
}
