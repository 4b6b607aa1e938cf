//! Measures how memory and CPU time grow with size, as the input of docs/CAPACITY.md.

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

/// Name of the proxies' threads, by which their CPU time is found.
const CONTROL_THREAD_NAME: &str = "hb-control";

/// Measured value at one size.
#[derive(Debug, Serialize)]
struct SlopePoint {
    size: f64,
    value: f64,
}

/// Line fitted to the measured points.
#[derive(Debug, Serialize)]
struct MeasuredSlope {
    name: &'static str,
    unit: &'static str,
    points: Vec<SlopePoint>,
    slope: f64,
    offset: f64,
    /// Largest distance of a point from the line, as a fraction of the largest value.
    residual: f64,
}

/// Runs the measurements and prints their report.
pub fn run(options: &CapacityOptions, json: bool) -> Result<(), LoadError> {
    let time = Duration::from_secs(options.seconds) / 4;
    let mut slopes = vec![
        measure_slope(
            "document memory",
            "bytes",
            &[1_000.0, 4_000.0, 16_000.0],
            measure_catalog_memory,
        ),
        measure_slope(
            "document in force",
            "us",
            &[1_000.0, 4_000.0, 16_000.0],
            measure_catalog_update,
        ),
        measure_slope("failover tick of all databases", "us", &[4.0, 16.0, 64.0], |size| {
            measure_failover_tick(size, time)
        }),
        // The name is part of the report's format.
        measure_slope("ledger beat of all teams", "us", &[8.0, 64.0, 256.0], |size| {
            measure_ledger_heartbeat(size, time)
        }),
    ];
    slopes.push(measure_slope("heartbeat", "bytes", &[8.0, 64.0, 256.0], measure_heartbeat_bytes));
    let mut control = Vec::new();
    for instances in [3, 6, 12] {
        let value = measure_control_cpu(instances, Duration::from_secs(options.seconds))?;
        control.push(SlopePoint { size: instances as f64, value });
    }
    // The unit is part of the report's format.
    slopes.push(fit_line("control of one instance by peers", "us a second", control));
    let text = format_report(&slopes);
    report::print_report(&slopes, json, text)
}

fn measure_slope(
    name: &'static str,
    unit: &'static str,
    sizes: &[f64],
    measure: impl Fn(usize) -> f64,
) -> MeasuredSlope {
    let points = sizes
        .iter()
        .map(|size| SlopePoint { size: *size, value: measure(*size as usize) })
        .collect();
    fit_line(name, unit, points)
}

/// Fits a line to the points by least squares.
fn fit_line(name: &'static str, unit: &'static str, points: Vec<SlopePoint>) -> MeasuredSlope {
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
fn build_document(size: usize) -> Document {
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

/// Returns the bytes of a catalog of `size` databases and teams.
fn measure_catalog_memory(size: usize) -> f64 {
    let document = build_document(size);
    let before = resource_usage::resident_bytes();
    let catalogs: Vec<DocumentCatalog> =
        (1..=4).map(|revision| DocumentCatalog::default().updated(revision, &document)).collect();
    let growth = resource_usage::resident_bytes().saturating_sub(before);
    growth as f64 / catalogs.len() as f64
}

/// Returns the microseconds in which an unchanged document replaces a catalog.
fn measure_catalog_update(size: usize) -> f64 {
    let document = build_document(size);
    let catalog = DocumentCatalog::default().updated(1, &document);
    let start = Instant::now();
    let next = catalog.updated(2, &document);
    let time = start.elapsed().as_secs_f64() * 1e6;
    assert_eq!(next.revision(), 2);
    time
}

/// Returns the microseconds in which the failover machines handle one heartbeat round.
fn measure_failover_tick(databases: usize, time: Duration) -> f64 {
    let status = |role, index| MemberStatus {
        position: MemberPosition { role, term: 1, applied: index, term_start: 0 },
        promised: 1,
        last_term: 1,
        received: index,
        last_contact_ms: 10,
    };
    let mut machines: Vec<FailoverMachine> =
        (0..databases).map(|_| FailoverMachine::new(3)).collect();
    mean_round_time_us(time, |round| {
        let now = Instant::now();
        for machine in &mut machines {
            machine.handle(FailoverEvent::Status(0, status(MemberRole::Primary, round)), now);
            machine.handle(FailoverEvent::Status(1, status(MemberRole::Replica, round)), now);
            machine.handle(FailoverEvent::Status(2, status(MemberRole::Replica, round)), now);
            assert!(machine.handle(FailoverEvent::Tick, now).is_empty());
        }
    })
}

/// Returns the microseconds in which the ledger handles the heartbeat of one peer.
fn measure_ledger_heartbeat(teams: usize, time: Duration) -> f64 {
    let mut ids: SlotMap<TeamId, ()> = SlotMap::with_key();
    let team_ids: Vec<TeamId> = (0..teams).map(|_| ids.insert(())).collect();
    let mut ledger = ShareLedger::default();
    ledger.enter_epoch(1);
    team_ids.iter().for_each(|id| ledger.issue(*id, FULL_SHARE / 2));
    mean_round_time_us(time, |round| {
        for id in &team_ids {
            let totals = TransferTotals { share: round % 1_000, tokens: 0.0 };
            ledger.receive_grant(*id, 7, 1, totals);
            ledger.record_acknowledgement(*id, 7, 1, round);
            ledger.set_demand(*id, 0.1);
        }
        assert!(ledger.unacknowledged(7).is_empty());
    })
}

/// Returns the encoded size of a heartbeat request in bytes.
fn measure_heartbeat_bytes(teams: usize) -> f64 {
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

/// Returns the CPU time of one idle instance in microseconds per second.
fn measure_control_cpu(instances: usize, time: Duration) -> Result<f64, LoadError> {
    let build = |name: &str| {
        Builder::new_multi_thread().worker_threads(2).thread_name(name).enable_all().build()
    };
    let (proxy, standin) = (build(CONTROL_THREAD_NAME)?, build("hb-standin")?);
    let lab = LabOptions {
        instances,
        emulate_delays: false,
        proxy_runtime: Some(proxy.handle().clone()),
        ..LabOptions::new(DeploymentProfile::from_name(ProfileName::Volksdans))
    };
    let environment = standin.block_on(LabEnvironment::start(lab))?;
    std::thread::sleep(Duration::from_secs(1));
    let before = resource_usage::thread_cpu_time(CONTROL_THREAD_NAME);
    std::thread::sleep(time);
    let cpu_time = resource_usage::thread_cpu_time(CONTROL_THREAD_NAME) - before;
    drop(environment);
    proxy.shutdown_background();
    standin.shutdown_background();
    Ok(cpu_time.as_secs_f64() * 1e6 / time.as_secs_f64() / instances as f64)
}

/// Runs rounds for `time` and returns the mean time of one in microseconds.
fn mean_round_time_us(time: Duration, mut round: impl FnMut(u64)) -> f64 {
    let start = Instant::now();
    let mut rounds = 0;
    while start.elapsed() < time {
        rounds += 1;
        round(rounds);
    }
    start.elapsed().as_secs_f64() * 1e6 / rounds as f64
}

fn format_report(slopes: &[MeasuredSlope]) -> String {
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
