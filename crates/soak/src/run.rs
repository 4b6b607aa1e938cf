//! One run of the soak: starts the environment, injects the faults of a seed and checks invariants.

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
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

use crate::caller::{CALLER_API_KEY, SharedHistory, SoakCaller};
use crate::document::DocumentLog;
use crate::fault::{FaultAction, schedule_faults};
use crate::instance::{InstanceConfig, InstanceProcess};
use crate::invariants::check_invariants;
use crate::long_caller::LongCaller;
use crate::planned_stop::{CutRequest, PlannedStop, StopLog};
use crate::relay::{FaultRelay, RelayMode};

/// Number of members in the database group.
const MEMBER_COUNT: usize = 3;
/// Name of the service that the database group provides.
pub(crate) const SERVICE: &str = "bookings";
/// Factor that spreads consecutive process identifiers over loopback networks; odd, so that no two of
/// 65,536 identifiers select the same one.
const RUN_HASH_FACTOR: u64 = 0x9e3b;
/// Time within which all instances must serve again after the last fault; required by the users.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Time within which all instances must serve after their first start.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which an evacuated zone may get no request; stated in the settings of the instances.
pub(crate) const EVACUATION_BOUND: Duration = Duration::from_secs(5);
/// Time after the bound for which the last evacuation of a run goes on.
const FINAL_CHECK_PERIOD: Duration = Duration::from_secs(2);
/// Interval at which the member of an evacuated zone is checked for requests.
const EVACUATION_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Table in which the instances register.
const INSTANCE_TABLE: &str = "hibiscus-instances";
/// Duration of each statement while the last instance stops, so that some run when it exits.
const SLOW_STATEMENT_DURATION: Duration = Duration::from_millis(250);
/// Number of callers with long transactions on each instance.
const LONG_CALLERS: u32 = 2;
/// Number of connections that a member accepts from a small fleet.
const MIN_MEMBER_CONNECTIONS: usize = 20;
/// Number of the first caller with long transactions; other callers have lower ones.
const FIRST_LONG_CALLER: u32 = 10_000;
/// Time within which a process must exit after a signal: its grace period of 4 s plus a margin.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(6);

/// Error that prevents a run.
#[derive(Debug, Snafu)]
pub enum SoakError {
    /// A file, socket or process could not be created.
    #[snafu(display("cannot set up the soak: {source}"))]
    Io {
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// Not all instances served in time.
    #[snafu(display("not all instances served within {} s", STARTUP_TIMEOUT.as_secs()))]
    NotStarted,
}

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Seed of the fault schedule and of the callers' choices.
    pub seed: u64,
    /// Time from the start during which new faults are injected.
    pub fault_period: Duration,
    /// Number of instances.
    pub instances: usize,
    /// Number of concurrent callers.
    pub callers: u32,
    /// Kinds of load that the instances are prepared for, as in the setting `contracts`.
    pub contracts: String,
    /// Executable of an instance.
    pub program: PathBuf,
    /// Existing folder for the settings and logs of the instances; to be kept after a violation.
    pub folder: PathBuf,
}

/// Result of a run.
#[derive(Debug)]
pub struct SoakReport {
    /// Violated invariants and failures of the run, one line each.
    pub violations: Vec<String>,
    /// Number of injected faults.
    pub faults: usize,
    /// Number of attempted writes.
    pub writes: usize,
    /// Number of successful reads.
    pub reads: usize,
    /// Number of sessions whose answers were compared with the documents.
    pub probes: usize,
}

type SharedProcess = Arc<tokio::sync::Mutex<InstanceProcess>>;

/// Running stand-ins, relays and instances.
pub(crate) struct SoakEnvironment {
    pub(crate) store: RowStore,
    group: SharedGroup,
    member_relays: Vec<FaultRelay>,
    store_relays: Vec<FaultRelay>,
    processes: Vec<SharedProcess>,
    pub(crate) failures: Mutex<Vec<String>>,
    pub(crate) documents: Mutex<DocumentLog>,
    /// Answers to new sessions that were compared with the documents.
    pub(crate) probe_count: AtomicUsize,
    stop_log: Mutex<StopLog>,
    /// Faults in progress that keep the row store away.
    pub(crate) store_outages: Mutex<usize>,
    /// Faults in progress that let an instance learn of rows late, and the end of the last one, by
    /// index of the instance.
    pub(crate) row_delays: Mutex<Vec<(usize, Instant)>>,
    /// Evacuations in progress, by index of the zone's member.
    pub(crate) evacuations: Mutex<[usize; MEMBER_COUNT]>,
}

/// Runs the soak with one seed.
pub async fn run(settings: &SoakSettings) -> Result<SoakReport, SoakError> {
    let environment = Arc::new(SoakEnvironment::start(settings).await?);
    let addresses: Vec<_> = {
        let mut addresses = Vec::new();
        for process in &environment.processes {
            addresses.push(process.lock().await.config.caller_address());
        }
        addresses
    };
    let history = SharedHistory::default();
    let (stop, stop_receiver) = watch::channel(false);
    let mut callers = Vec::new();
    for number in 0..settings.callers {
        let caller = SoakCaller::new(number, settings.seed, addresses.clone(), history.clone());
        callers.push(tokio::spawn(caller.run(stop_receiver.clone())));
    }
    for (index, address) in addresses.iter().enumerate() {
        for number in 0..LONG_CALLERS {
            let number = FIRST_LONG_CALLER + index as u32 * LONG_CALLERS + number;
            let caller = LongCaller::new(number, settings.seed, *address, history.clone());
            callers.push(tokio::spawn(caller.run(stop_receiver.clone())));
        }
        let (environment, address) = (environment.clone(), *address);
        let stop_receiver = stop_receiver.clone();
        callers.push(tokio::spawn(async move {
            environment.probe_documents(index, address, stop_receiver).await;
        }));
    }
    let faults =
        schedule_faults(settings.seed, settings.fault_period, settings.instances, MEMBER_COUNT);
    let started_at = Instant::now();
    let mut fault_tasks = Vec::new();
    for fault in &faults {
        sleep_until(started_at + fault.starts_at).await;
        let (environment, fault) = (environment.clone(), *fault);
        fault_tasks.push(tokio::spawn(async move {
            environment.inject_fault(fault.action, fault.duration).await
        }));
    }
    for fault in fault_tasks {
        if let Err(error) = fault.await {
            environment.failures.lock().push(format!("the task of a fault failed: {error}"));
        }
    }
    // During the faults hardly any evacuation lasts for the bound without a fault that delays rows.
    let leader = environment.group.lock().leader;
    environment.evacuate_zone(leader, EVACUATION_BOUND + FINAL_CHECK_PERIOD).await;
    environment.check_recovery(&addresses).await;
    // During the faults hardly any planned stop is free of unplanned faults.
    let stopped = settings.seed as usize % settings.instances;
    environment.set_statement_duration(Some(SLOW_STATEMENT_DURATION));
    environment.inject_fault(FaultAction::TerminateInstance(stopped), Duration::ZERO).await;
    environment.set_statement_duration(None);
    environment.check_recovery(&addresses).await;
    stop.send_replace(true);
    for caller in callers {
        if let Err(error) = caller.await {
            environment.failures.lock().push(format!("the task of a caller failed: {error}"));
        }
    }
    environment.stop().await;
    let history = history.lock();
    let mut violations =
        check_invariants(&history, &environment.group.lock(), &environment.store.promotions());
    violations.extend(environment.lost_requests(&history.cuts));
    violations.extend(environment.failures.lock().drain(..));
    let (writes, reads) = (history.writes.len(), history.reads);
    let probes = environment.probe_count.load(Ordering::Relaxed);
    Ok(SoakReport { violations, faults: faults.len(), writes, reads, probes })
}

impl SoakEnvironment {
    async fn start(settings: &SoakSettings) -> Result<Self, SoakError> {
        let store = RowStore::default();
        let store_address = store.serve().await.context(IoSnafu)?;
        let ids: Vec<String> = (1..=MEMBER_COUNT).map(|number| format!("m-{number}")).collect();
        let names: Vec<&str> = ids.iter().map(String::as_str).collect();
        let group = GroupState::new(SERVICE, &names);
        let max_connections = member_connections(settings.instances);
        group.lock().max_connections = max_connections;
        store.register_group(group.clone());
        let mut member_relays = Vec::new();
        for index in 0..MEMBER_COUNT {
            let address = member::serve(group.clone(), index).await.context(IoSnafu)?;
            member_relays.push(FaultRelay::start(address).await.context(IoSnafu)?);
        }
        // Seed and process select a loopback network, so that concurrent runs, also of the same seed,
        // do not share the fixed port for metrics.
        let run = settings.seed ^ u64::from(std::process::id()).wrapping_mul(RUN_HASH_FACTOR);
        let [_, .., high, low] = run.to_be_bytes();
        let network = [127, high.wrapping_add(1).max(1), low];
        let base_port = free_base_port(network).context(IoSnafu)?;
        let (mut store_relays, mut processes) = (Vec::new(), Vec::new());
        for index in 0..settings.instances {
            let relay = FaultRelay::start(store_address).await.context(IoSnafu)?;
            let config = InstanceConfig {
                number: u8::try_from(index + 1).unwrap_or(u8::MAX),
                network,
                zone: format!("zone-{}", index % 3),
                store: relay.address,
                base_port,
                contracts: settings.contracts.clone(),
            };
            store_relays.push(relay);
            let process = InstanceProcess::new(config, &settings.program, &settings.folder);
            processes.push(Arc::new(tokio::sync::Mutex::new(process)));
        }
        let environment = Self {
            store,
            group,
            member_relays,
            store_relays,
            processes,
            failures: Mutex::default(),
            documents: Mutex::new(DocumentLog::new(max_connections)),
            probe_count: AtomicUsize::new(0),
            stop_log: Mutex::default(),
            store_outages: Mutex::new(0),
            row_delays: Mutex::new(vec![(0, Instant::now()); settings.instances]),
            evacuations: Mutex::default(),
        };
        environment.write_document();
        environment.register_members();
        for process in &environment.processes {
            process.lock().await.start().context(IoSnafu)?;
        }
        let startup = timeout(STARTUP_TIMEOUT, async {
            for process in &environment.processes {
                let address = process.lock().await.config.caller_address();
                while !is_serving(address).await {
                    sleep(Duration::from_millis(50)).await;
                }
            }
        });
        startup.await.map_err(|_| SoakError::NotStarted)?;
        Ok(environment)
    }

    pub(crate) fn write_document(&self) {
        self.documents.lock().write_next(|document| self.store.put("op", "config", document));
    }

    /// Registers the members with their current roles.
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

    /// Injects a fault and ends it after `duration`.
    async fn inject_fault(&self, action: FaultAction, duration: Duration) {
        let copy = self.copy_store();
        if let FaultAction::DrillStore(_) = action {
            sleep(duration).await;
        }
        let started_at = Instant::now();
        self.update_row_delays(action, |delay| delay.0 += 1);
        match action {
            FaultAction::PauseInstance(index) => {
                let process = self.processes[index].lock().await;
                self.record_failure(process.send_signal(Signal::STOP));
                sleep(duration).await;
                self.record_failure(process.send_signal(Signal::CONT));
            }
            FaultAction::KillInstance(index) => self.restart(index, Signal::KILL).await,
            FaultAction::TerminateInstance(index) => self.restart(index, Signal::TERM).await,
            FaultAction::SetMemberRelay(index, mode) => {
                self.member_relays[index].set_mode(mode);
                sleep(duration).await;
                self.member_relays[index].set_mode(RelayMode::Forward);
                // After dropped bytes the protocol is out of sync on the open connections.
                self.member_relays[index].reset_open_connections();
            }
            FaultAction::ResetMemberConnections(index) => {
                self.member_relays[index].reset_open_connections()
            }
            FaultAction::BlackholeMemberConnections(index) => {
                self.member_relays[index].blackhole_open_connections()
            }
            FaultAction::SetStoreRelay(index, mode) => {
                self.store_relays[index].set_mode(mode);
                sleep(duration).await;
                self.store_relays[index].set_mode(RelayMode::Forward);
            }
            FaultAction::SlowStore(latency) => {
                let set_mode = |mode| {
                    self.store_relays.iter().for_each(|relay| relay.set_mode(mode));
                };
                set_mode(RelayMode::Latency(latency));
                sleep(duration).await;
                set_mode(RelayMode::Forward);
            }
            FaultAction::BlackholeStoreConnections(index) => {
                self.store_relays[index].blackhole_open_connections()
            }
            FaultAction::MakeStoreUnavailable => self.take_store_away(duration, || {}).await,
            FaultAction::DrillStore(away) => self.drill_store(copy, away).await,
            FaultAction::CompactStoreHistory => self.store.compact_history(),
            FaultAction::MakeMemberUnresponsive(index) => {
                self.inject_member_fault(index, duration, |faults, on| faults.unresponsive = on)
                    .await
            }
            FaultAction::StopMemberReplication(index) => {
                self.inject_member_fault(index, duration, |faults, on| {
                    faults.replication_stopped = on
                })
                .await
            }
            FaultAction::LoseCommitResponses(index) => {
                self.inject_member_fault(index, duration, |faults, on| {
                    faults.loses_commit_responses = on
                })
                .await;
            }
            FaultAction::FailMemberReads(index) => {
                self.inject_member_fault(index, duration, |faults, on| faults.fails_reads = on)
                    .await;
            }
            FaultAction::PublishDocument => self.write_document(),
            FaultAction::EvacuateZone(index) => self.evacuate_zone(index, duration).await,
        }
        self.update_row_delays(action, |delay| *delay = (delay.0 - 1, Instant::now()));
        if action.cuts_requests() {
            self.stop_log.lock().unplanned.push((started_at, Instant::now()));
        }
        self.register_members();
    }

    fn update_row_delays(&self, action: FaultAction, update: impl Fn(&mut (usize, Instant))) {
        let mut delays = self.row_delays.lock();
        let affected = delays.iter_mut().enumerate();
        affected
            .filter(|(index, _)| action.delays_rows(*index))
            .for_each(|(_, delay)| update(delay));
    }

    /// Evacuates the zone of a member, and checks that the member gets no statement after the bound.
    ///
    /// Instances that could not learn of the row in time are exempt, so the bound starts again
    /// after each fault that delays rows.
    async fn evacuate_zone(&self, index: usize, duration: Duration) {
        self.evacuations.lock()[index] += 1;
        self.write_evacuation(index, true);
        let started_at = Instant::now();
        let executed = || self.group.lock().members[index].executed.len();
        let mut known_count = executed();
        while started_at.elapsed() < duration {
            sleep(EVACUATION_CHECK_INTERVAL).await;
            let delays = self.row_delays.lock().clone();
            let count = executed();
            let bound_starts_at =
                delays.iter().map(|(_, until)| *until).fold(started_at, Instant::max);
            if delays.iter().all(|(delay_count, _)| *delay_count == 0)
                && bound_starts_at.elapsed() > EVACUATION_BOUND + EVACUATION_CHECK_INTERVAL
                && count > known_count
            {
                let age = started_at.elapsed();
                self.failures.lock().push(format!(
                    "{} statements reached m-{} {age:?} after the evacuation of its zone",
                    count - known_count,
                    index + 1
                ));
            }
            known_count = count;
        }
        let mut evacuations = self.evacuations.lock();
        evacuations[index] -= 1;
        if evacuations[index] == 0 {
            self.write_evacuation(index, false);
        }
    }

    async fn inject_member_fault(
        &self,
        index: usize,
        duration: Duration,
        set: impl Fn(&mut standin::gateway_platform::group::MemberFaults, bool),
    ) {
        set(&mut self.group.lock().members[index].faults, true);
        sleep(duration).await;
        let mut group = self.group.lock();
        set(&mut group.members[index].faults, false);
        group.catch_up(index);
    }

    async fn restart(&self, index: usize, signal: Signal) {
        let mut process = self.processes[index].lock().await;
        if signal == Signal::TERM {
            let (address, signalled_at) = (process.config.caller_address(), Instant::now());
            self.stop_log.lock().stops.push(PlannedStop { address, signalled_at });
        }
        self.record_failure(process.send_signal(signal));
        if timeout(SHUTDOWN_TIMEOUT, process.wait_for_exit()).await.is_err() {
            self.failures
                .lock()
                .push(format!("instance {index} did not exit within its grace period"));
        }
        sleep(Duration::from_millis(200)).await;
        self.record_failure(process.start());
    }

    fn record_failure(&self, result: std::io::Result<()>) {
        if let Err(error) = result {
            self.failures.lock().push(format!("cannot inject a fault: {error}"));
        }
    }

    /// Checks that every instance serves and is registered again within [`RECOVERY_TIMEOUT`].
    async fn check_recovery(&self, addresses: &[std::net::SocketAddr]) {
        let started_at = Instant::now();
        for address in addresses {
            while !is_serving(*address).await {
                self.register_members();
                if started_at.elapsed() > RECOVERY_TIMEOUT {
                    self.failures
                        .lock()
                        .push(format!("{address} does not serve after the last fault has ended"));
                    break;
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
        for process in &self.processes {
            let name = process.lock().await.config.name();
            while !self.store.has_row(INSTANCE_TABLE, &name) {
                if started_at.elapsed() > RECOVERY_TIMEOUT {
                    let failure =
                        format!("{name} is not registered after the last fault has ended");
                    self.failures.lock().push(failure);
                    break;
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
    }

    fn set_statement_duration(&self, duration: Option<Duration>) {
        for member in &mut self.group.lock().members {
            member.faults.statement_duration = duration;
        }
    }

    fn lost_requests(&self, cuts: &[CutRequest]) -> Vec<String> {
        let group = self.group.lock();
        let executed = group.members.iter().flat_map(|member| &member.executed);
        let executed = executed
            .map(|statement| (statement.id.as_str(), Instant::from_std(statement.ended_at)))
            .collect();
        self.stop_log.lock().lost_requests(cuts, &executed)
    }

    async fn stop(&self) {
        for process in &self.processes {
            let mut process = process.lock().await;
            if process.has_exited_unexpectedly() {
                let number = process.config.number;
                self.failures.lock().push(format!("instance {number} exited unexpectedly"));
            }
            self.record_failure(process.send_signal(Signal::KILL));
            process.wait_for_exit().await;
        }
    }
}

/// Returns whether an instance serves a read on the leader.
async fn is_serving(address: std::net::SocketAddr) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let probe = async {
        let mut stream = tokio::net::TcpStream::connect(address).await.ok()?;
        let text = format!("STARTUP strict {CALLER_API_KEY}\r\nQUERY p READ probe\r\n");
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut response = String::new();
        let mut chunk = [0; 1_024];
        while !response.contains("ERROR") && response.matches("READY").count() < 2 {
            let read = stream.read(&mut chunk).await.ok().filter(|read| *read > 0)?;
            response.push_str(&String::from_utf8_lossy(&chunk[..read]));
        }
        response.contains("COMPLETE").then_some(())
    };
    timeout(Duration::from_secs(2), probe).await.ok().flatten().is_some()
}

/// Returns the number of connections that a member accepts: more than there are callers with long
/// transactions, each of which occupies one at the leader.
fn member_connections(instances: usize) -> usize {
    MIN_MEMBER_CONNECTIONS.max(instances * (LONG_CALLERS as usize + 1))
}

/// Returns the first of three consecutive ports for the instances.
///
/// Only the first port is checked, and only on the address of the first instance.
fn free_base_port([first, second, third]: [u8; 3]) -> std::io::Result<u16> {
    loop {
        let listener = std::net::TcpListener::bind((Ipv4Addr::new(first, second, third, 1), 0))?;
        let port = listener.local_addr()?.port();
        if port < u16::MAX - 3 {
            return Ok(port);
        }
    }
}

/// Returns the subfolder of `folder` for a seed.
pub fn seed_folder(folder: &Path, seed: u64) -> PathBuf {
    folder.join(format!("seed-{seed}"))
}
