//! Simulates how a large document spreads over a fleet with slow links.

use std::time::{Duration, Instant};

use coord::rendezvous;
use coord::table_source::{SourceCandidate, SourcePlanner, SourceStep};
use coord::transfer_gate::{GateDecision, MAX_RECEIVERS, TransferGate};

/// Interval of one simulation step; also the time of a request on its way.
const STEP: Duration = Duration::from_millis(5);
/// Size of a part, in bytes.
const PART_BYTES: f64 = 32_768.0;
/// Interval at which a receiver looks for another source.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// Time until others know that an instance has a document.
const PUBLICATION_DELAY: Duration = Duration::from_millis(55);
/// Time without progress after which a receiver gives a source up.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that an instance with 0.12 of a core takes to bring a document of 256 KB into force.
const APPLY_TIME: Duration = Duration::from_millis(50);
/// Time behind after which an instance reads the store: 0.3 of the bound of 5 s.
const STORE_DELAY: Duration = Duration::from_millis(1_500);
/// Size of the document as the store sends it, in bytes.
const STORE_READ_BYTES: f64 = 350_000.0;
/// Factor by which a quarter of the instances are slower.
const SLOW_FACTOR: u32 = 5;
/// Observers of a zone.
const OBSERVERS: usize = 3;
/// Version that all have at first, and version of the new document.
const VERSIONS: [u64; 2] = [1, 2];

/// Fleet of a simulation.
#[derive(Clone, Copy)]
struct FleetPlan {
    zones: usize,
    instances: usize,
    /// Instances of each zone with ten times the link rate of the others.
    large_per_zone: usize,
    /// Link rate of the others, in bytes a second.
    bytes_per_s: f64,
    /// Encoded size of the document, in bytes.
    document_bytes: f64,
    /// The first instance of each zone, which reads the store, is slow too.
    slow_readers: bool,
    /// Part of the instances that freeze for 3 s while the document spreads.
    frozen_fraction: f64,
}

struct RunningTransfer {
    source: usize,
    part_remaining: f64,
    progress_at: Instant,
}

struct SimulatedInstance {
    name: String,
    zone: usize,
    bytes_per_s: f64,
    apply_time: Duration,
    planner: SourcePlanner<usize, u64>,
    gate: TransferGate<usize, u64>,
    transfer: Option<RunningTransfer>,
    received: f64,
    has_since: Option<Instant>,
    next_attempt_at: Instant,
    frozen_until: Option<Instant>,
}

/// Result of a simulation.
#[derive(Debug)]
struct SpreadReport {
    /// Time until all that were not frozen had the document in force.
    longest: Duration,
    store_reads: usize,
    /// Most receivers that one instance sent to at once.
    most_receivers: usize,
}

fn hash_fraction(subject: &str, name: &str) -> f64 {
    rendezvous::weight(subject, name) as f64 / u64::MAX as f64
}

/// Lets the zone readers have a document at the start, and runs until all have it.
fn simulate(plan: FleetPlan, seed: u64) -> SpreadReport {
    let start = Instant::now();
    let mut fleet: Vec<SimulatedInstance> = (0..plan.instances)
        .map(|index| {
            let name = format!("instance-{seed}-{index}");
            let is_reader = index < plan.zones;
            let is_slow = (plan.slow_readers && is_reader) || hash_fraction("slow", &name) < 0.25;
            let is_large = index / plan.zones < plan.large_per_zone;
            let factor = if is_slow { SLOW_FACTOR } else { 1 };
            let link_factor = if is_large { 10.0 } else { 1.0 };
            let is_frozen = !is_reader && hash_fraction("frozen", &name) < plan.frozen_fraction;
            let freeze_end = start + Duration::from_secs(3);
            SimulatedInstance {
                zone: index % plan.zones,
                bytes_per_s: plan.bytes_per_s * link_factor / f64::from(factor),
                apply_time: APPLY_TIME * factor,
                planner: SourcePlanner::new(&name, STORE_DELAY),
                gate: TransferGate::default(),
                transfer: None,
                received: 0.0,
                has_since: is_reader.then_some(start),
                next_attempt_at: start + STEP,
                frozen_until: is_frozen.then_some(freeze_end),
                name,
            }
        })
        .collect();
    for instance in &mut fleet {
        instance.planner.offered();
    }
    let mut report = SpreadReport { longest: Duration::ZERO, store_reads: 0, most_receivers: 0 };
    let mut now = start;
    while fleet.iter().any(|instance| instance.has_since.is_none()) {
        now += STEP;
        assert!(now - start < Duration::from_secs(60), "some never get the document");
        for index in 0..fleet.len() {
            step_instance(&mut fleet, index, plan, now, start, &mut report);
        }
    }
    let awake = fleet.iter().filter(|instance| instance.frozen_until.is_none());
    let times = awake.filter_map(|instance| instance.has_since);
    report.longest = times.max().map_or(Duration::ZERO, |at| at - start);
    report
}

fn is_frozen(instance: &SimulatedInstance, now: Instant, start: Instant) -> bool {
    // The freeze strikes while the first transfers run.
    instance.frozen_until.is_some_and(|until| now < until)
        && now - start > Duration::from_millis(150)
}

fn step_instance(
    fleet: &mut [SimulatedInstance],
    index: usize,
    plan: FleetPlan,
    now: Instant,
    start: Instant,
    report: &mut SpreadReport,
) {
    if fleet[index].has_since.is_some() || is_frozen(&fleet[index], now, start) {
        return;
    }
    let Some(mut transfer) = fleet[index].transfer.take() else {
        if now >= fleet[index].next_attempt_at {
            start_transfer(fleet, index, plan, now, start, report);
        }
        return;
    };
    let source = transfer.source;
    if is_frozen(&fleet[source], now, start) {
        if now - transfer.progress_at > STALL_TIMEOUT {
            fleet[index].planner.failed(source, now);
        } else {
            fleet[index].transfer = Some(transfer);
        }
        return;
    }
    let receives = |other: &&SimulatedInstance| {
        let is_served = other.transfer.as_ref().is_some_and(|other| other.source == source);
        // A frozen receiver takes nothing from the link, and the gate forgets it.
        is_served && !is_frozen(other, now, start)
    };
    let receivers = 1 + fleet.iter().filter(receives).count();
    report.most_receivers = report.most_receivers.max(receivers);
    let rate = fleet[index].bytes_per_s.min(fleet[source].bytes_per_s / receivers as f64);
    transfer.part_remaining -= rate * STEP.as_secs_f64();
    transfer.progress_at = now;
    if transfer.part_remaining > 0.0 {
        fleet[index].transfer = Some(transfer);
        return;
    }
    fleet[index].received += PART_BYTES;
    if fleet[index].received >= plan.document_bytes {
        fleet[source].gate.finish(index, now);
        fleet[index].planner.succeeded(source);
        let apply_time = fleet[index].apply_time;
        fleet[index].has_since = Some(now + apply_time);
    } else {
        request_part(fleet, index, source, plan, now);
    }
}

/// Looks for a source as the planner says.
fn start_transfer(
    fleet: &mut [SimulatedInstance],
    index: usize,
    plan: FleetPlan,
    now: Instant,
    start: Instant,
    report: &mut SpreadReport,
) {
    fleet[index].next_attempt_at = now + RETRY_INTERVAL;
    let zone = fleet[index].zone;
    let is_published =
        |has_since: Option<Instant>| has_since.is_some_and(|at| now >= at + PUBLICATION_DELAY);
    let observers: Vec<SourceCandidate<usize, u64>> = (0..OBSERVERS)
        .map(|rank| zone + rank * plan.zones)
        .filter(|observer| *observer != index)
        .map(|key| {
            let is_newer = is_published(fleet[key].has_since) || key < plan.zones;
            SourceCandidate { key, version: VERSIONS[usize::from(is_newer)], is_in_zone: true }
        })
        .collect();
    let names: Vec<String> = fleet.iter().map(|instance| instance.name.clone()).collect();
    let step =
        fleet[index].planner.next_step(VERSIONS[0], observers, |key| names[key].as_str(), now);
    match step {
        // A frozen source does not answer, which the receiver notices as a stall.
        SourceStep::Peer(source) if is_frozen(&fleet[source], now, start) => {
            let transfer = RunningTransfer { source, part_remaining: PART_BYTES, progress_at: now };
            fleet[index].transfer = Some(transfer);
        }
        SourceStep::Peer(source) => request_part(fleet, index, source, plan, now),
        SourceStep::Store => {
            report.store_reads += 1;
            let read_time = Duration::from_secs_f64(STORE_READ_BYTES / fleet[index].bytes_per_s);
            let apply_time = fleet[index].apply_time;
            fleet[index].has_since = Some(now + read_time + apply_time);
        }
        SourceStep::Wait | SourceStep::UpToDate => {}
    }
}

fn request_part(
    fleet: &mut [SimulatedInstance],
    index: usize,
    source: usize,
    plan: FleetPlan,
    now: Instant,
) {
    if fleet[source].has_since.is_none_or(|at| at > now) {
        fleet[index].planner.succeeded(source);
        return;
    }
    match fleet[source].gate.request(index, VERSIONS[1], now) {
        GateDecision::Serve => {
            let missing = plan.document_bytes - fleet[index].received;
            let part_remaining = missing.min(PART_BYTES);
            fleet[index].transfer =
                Some(RunningTransfer { source, part_remaining, progress_at: now + 2 * STEP });
        }
        GateDecision::Busy { retry_after, holders } => {
            let candidate = |key| SourceCandidate { key, version: VERSIONS[1], is_in_zone: true };
            let holders = holders.into_iter().map(candidate);
            fleet[index].planner.busy(source, retry_after, holders, now);
        }
    }
}

/// Defines a test that simulates a fleet with 20 seeds; at most the given part of the instances reads
/// the store.
macro_rules! spread_case {
    ($name:ident, $plan:expr, within $bound:expr, store reads $max_reads:expr) => {
        #[test]
        fn $name() {
            let mut worst = Duration::ZERO;
            for seed in 0..20 {
                let report = simulate($plan, seed);
                assert!(report.longest <= $bound, "seed {seed}: {report:?}");
                assert!(report.most_receivers <= MAX_RECEIVERS, "seed {seed}: {report:?}");
                let max_reads = $plan.instances as f64 * $max_reads;
                assert!(report.store_reads as f64 <= max_reads, "seed {seed}: {report:?}");
                worst = worst.max(report.longest);
            }
            println!("longest of 20 seeds: {worst:?}");
        }
    };
}

/// Half of the time within which a document must be in force at 89 instances.
const HALF_BOUND: Duration = Duration::from_millis(2_500);
/// The same at 295 instances.
const HALF_LARGE_BOUND: Duration = Duration::from_millis(3_000);
/// Fleet of 89 instances in three zones, two of each zone with 200 Mbit/s, the others with 10 Mbit/s.
const FLEET: FleetPlan = FleetPlan {
    zones: 3,
    instances: 89,
    large_per_zone: 2,
    bytes_per_s: 1_250_000.0,
    document_bytes: 65_536.0,
    slow_readers: false,
    frozen_fraction: 0.0,
};
/// Fleet of 295 instances in five zones, three of each zone with 200 Mbit/s, the others with 20 Mbit/s.
const LARGE_FLEET: FleetPlan =
    FleetPlan { zones: 5, instances: 295, large_per_zone: 3, bytes_per_s: 2_500_000.0, ..FLEET };

spread_case!(a_document_of_256_kb_reaches_89_instances, FLEET, within HALF_BOUND, store reads 0.0);
spread_case!(a_document_of_256_kb_reaches_295_instances, LARGE_FLEET, within HALF_LARGE_BOUND, store reads 0.0);
// All large instances are gone, and each zone's reader is one of the slow ones.
spread_case!(
    slow_readers_without_large_instances_serve_89_instances,
    FleetPlan { large_per_zone: 0, slow_readers: true, ..FLEET },
    within HALF_BOUND, store reads 0.05
);
spread_case!(
    slow_readers_without_large_instances_serve_295_instances,
    FleetPlan { large_per_zone: 0, slow_readers: true, ..LARGE_FLEET },
    within HALF_LARGE_BOUND, store reads 0.05
);
// Sources that freeze in the middle are replaced, and what they sent is not sent again.
spread_case!(
    frozen_sources_are_replaced,
    FleetPlan { frozen_fraction: 0.2, ..FLEET },
    within HALF_BOUND, store reads 0.25
);
