//! Slopes of memory and processor time, from which docs/CAPACITY.md is worked out.

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use coord::failover::{FailoverEvent, FailoverMachine};
use coord::ledger::{FULL_SHARE, ShareLedger, TransferTotals};
use lab::environment::{LabEnvironment, LabOptions};
use lab::profile::{DeploymentProfile, ProfileName};
use prost::Message as _;
use serde::Serialize;
use slotmap::SlotMap;
use state::catalog::{DocumentCatalog, TeamId};
use state::document::{DatabaseSection, Document, FORMAT_VERSION, TeamSection};
use state::position::{MemberPosition, MemberRole, MemberStatus};
use tokio::runtime::Builder;
use wire::peer::{BeatRequest, InstanceSummary, TeamShare};

use crate::cli::CapacityOptions;
use crate::report::{self, LoadError};
use crate::resource_usage;

/// Name of the threads whose control work is measured.
const CONTROL_THREADS: &str = "hb-control";

/// One measured point.
#[derive(Debug, Serialize)]
struct SlopePoint {
    size: f64,
    value: f64,
}

/// Straight line through measured points.
#[derive(Debug, Serialize)]
struct MeasuredSlope {
    name: &'static str,
    unit: &'static str,
    points: Vec<SlopePoint>,
    slope: f64,
    offset: f64,
    /// Largest distance of a point from the line, as a part of the largest value.
    residual: f64,
}

/// Runs the measurement.
pub fn run(options: &CapacityOptions, json: bool) -> Result<(), LoadError> {
    let time = Duration::from_secs(options.seconds) / 4;
    let mut slopes = vec![
        slope("document memory", "bytes", &[1_000.0, 4_000.0, 16_000.0], catalog_bytes),
        slope("document in force", "us", &[1_000.0, 4_000.0, 16_000.0], catalog_time),
        slope("failover tick of all databases", "us", &[4.0, 16.0, 64.0], |size| {
            failover_time(size, time)
        }),
        slope("ledger beat of all teams", "us", &[8.0, 64.0, 256.0], |size| {
            ledger_time(size, time)
        }),
    ];
    slopes.push(slope("heartbeat", "bytes", &[8.0, 64.0, 256.0], beat_bytes));
    let mut control = Vec::new();
    for instances in [3, 6, 12] {
        let value = control_time(instances, Duration::from_secs(options.seconds))?;
        control.push(SlopePoint { size: instances as f64, value });
    }
    slopes.push(fit("control of one instance by peers", "us a second", control));
    let text = describe(&slopes);
    report::print(&slopes, json, text)
}

fn slope(
    name: &'static str,
    unit: &'static str,
    sizes: &[f64],
    measure: impl Fn(usize) -> f64,
) -> MeasuredSlope {
    let points = sizes
        .iter()
        .map(|size| SlopePoint { size: *size, value: measure(*size as usize) })
        .collect();
    fit(name, unit, points)
}

/// Lays the line with the least squares through the points.
fn fit(name: &'static str, unit: &'static str, points: Vec<SlopePoint>) -> MeasuredSlope {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let covariance: f64 =
        points.iter().map(|p| (p.size - mean_size) * (p.value - mean_value)).sum();
    let variance: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
    let slope = covariance / variance;
    let offset = mean_value - slope * mean_size;
    let largest = points.iter().map(|point| point.value.abs()).fold(1e-9, f64::max);
    let distance = |point: &SlopePoint| (point.value - offset - slope * point.size).abs();
    let residual = points.iter().map(distance).fold(0.0, f64::max) / largest;
    MeasuredSlope { name, unit, points, slope, offset, residual }
}

/// Builds a document with `size` databases and as many teams.
fn document(size: usize) -> Document {
    let team =
        |number: usize| TeamSection { name: format!("team-{number}"), ..TeamSection::default() };
    let database = |number: usize| DatabaseSection {
        name: format!("database-{number}"),
        members: ["a", "b", "c"].map(str::to_owned).to_vec(),
        ..DatabaseSection::default()
    };
    Document {
        format: FORMAT_VERSION,
        teams: (0..size).map(team).collect(),
        databases: (0..size).map(database).collect(),
        routes: Vec::new(),
    }
}

fn catalog_bytes(size: usize) -> f64 {
    let document = document(size);
    let before = resource_usage::resident_bytes();
    let catalogs: Vec<DocumentCatalog> =
        (1..=4).map(|revision| DocumentCatalog::default().updated(revision, &document)).collect();
    let grown = resource_usage::resident_bytes().saturating_sub(before);
    grown as f64 / catalogs.len() as f64
}

fn catalog_time(size: usize) -> f64 {
    let text_document = document(size);
    let catalog = DocumentCatalog::default().updated(1, &text_document);
    let begin = Instant::now();
    let next = catalog.updated(2, &text_document);
    let time = begin.elapsed().as_secs_f64() * 1e6;
    assert_eq!(next.revision(), 2);
    time
}

fn failover_time(databases: usize, time: Duration) -> f64 {
    let status = |role, index| MemberStatus {
        position: MemberPosition { role, term: 1, applied: index, term_start: 0 },
        promised: 1,
        last_term: 1,
        received: index,
        last_contact_ms: 10,
    };
    let mut machines: Vec<FailoverMachine> =
        (0..databases).map(|_| FailoverMachine::new(3)).collect();
    repeat(time, |round| {
        let now = Instant::now();
        for machine in &mut machines {
            machine.handle(FailoverEvent::Status(0, status(MemberRole::Primary, round)), now);
            machine.handle(FailoverEvent::Status(1, status(MemberRole::Replica, round)), now);
            machine.handle(FailoverEvent::Status(2, status(MemberRole::Replica, round)), now);
            assert!(machine.handle(FailoverEvent::Tick, now).is_empty());
        }
    })
}

fn ledger_time(teams: usize, time: Duration) -> f64 {
    let mut keys: SlotMap<TeamId, ()> = SlotMap::with_key();
    let keys: Vec<TeamId> = (0..teams).map(|_| keys.insert(())).collect();
    let mut ledger = ShareLedger::default();
    ledger.enter_epoch(1);
    keys.iter().for_each(|key| ledger.issue(*key, FULL_SHARE / 2));
    repeat(time, |round| {
        for key in &keys {
            let totals = TransferTotals { share: round % 1_000, tokens: 0.0 };
            ledger.receive_grant(*key, 7, 1, totals);
            ledger.record_acknowledgement(*key, 7, 1, round);
            ledger.set_demand(*key, 0.1);
        }
        assert!(ledger.unacknowledged(7).is_empty());
    })
}

fn beat_bytes(teams: usize) -> f64 {
    let share = |number: usize| TeamShare {
        team: format!("team-{number}"),
        share: FULL_SHARE / 9,
        demand: 0.123,
        given_share: 0,
        given_tokens: 0.0,
        taken_share: FULL_SHARE / 10,
    };
    let summary = InstanceSummary {
        instance: "entry-1234".to_owned(),
        zone: "zone-12".to_owned(),
        incarnation: u64::MAX,
        revision: 26_000,
        revision_proof_age_ms: Some(500),
        epoch: 1_000,
        epoch_proof_age_ms: Some(500),
        ..InstanceSummary::default()
    };
    let shares = (0..teams).map(share).collect();
    let request = BeatRequest { summary: Some(summary), shares, receiver: u64::MAX };
    request.encoded_len() as f64
}

/// Returns the processor time that one idle instance takes each second, in microseconds.
fn control_time(instances: usize, time: Duration) -> Result<f64, LoadError> {
    let build = |name: &str| {
        Builder::new_multi_thread().worker_threads(2).thread_name(name).enable_all().build()
    };
    let (proxy, standin) = (build(CONTROL_THREADS)?, build("hb-standin")?);
    let lab = LabOptions {
        instances,
        emulate_delays: false,
        proxy_runtime: Some(proxy.handle().clone()),
        ..LabOptions::new(DeploymentProfile::from_name(ProfileName::Volksdans))
    };
    let environment = standin.block_on(LabEnvironment::start(lab))?;
    std::thread::sleep(Duration::from_secs(1));
    let before = resource_usage::thread_cpu_time(CONTROL_THREADS);
    std::thread::sleep(time);
    let used = resource_usage::thread_cpu_time(CONTROL_THREADS) - before;
    drop(environment);
    proxy.shutdown_background();
    standin.shutdown_background();
    Ok(used.as_secs_f64() * 1e6 / time.as_secs_f64() / instances as f64)
}

/// Returns the microseconds that one round takes.
fn repeat(time: Duration, mut round: impl FnMut(u64)) -> f64 {
    let begin = Instant::now();
    let mut rounds = 0;
    while begin.elapsed() < time {
        rounds += 1;
        round(rounds);
    }
    begin.elapsed().as_secs_f64() * 1e6 / rounds as f64
}

fn describe(slopes: &[MeasuredSlope]) -> String {
    let mut text = String::new();
    for slope in slopes {
        let points: Vec<String> =
            slope.points.iter().map(|p| format!("{:.0}: {:.1}", p.size, p.value)).collect();
        _ = writeln!(
            text,
            "{:<32} {:>10.4} {} each, offset {:.1}, residual {:.3}  [{}]",
            slope.name,
            slope.slope,
            slope.unit,
            slope.offset,
            slope.residual,
            points.join(", ")
        );
    }
    text
}
