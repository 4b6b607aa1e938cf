//! Runs a deployment's workload and reports availability, latency and consistency.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use lab::environment::{LabEnvironment, LabOptions};
use lab::profile::DeploymentProfile;
use lab::relay::TcpRelay;
use parking_lot::Mutex;
use proxy::counters::ReadCounts;
use serde::Serialize;

use crate::caller::{self, BROWSE_ROWS, REQUEST_TIMEOUT, RunContext};
use crate::cli::{AccessPath, FaultKind, ProfileOptions};
use crate::fault_injection;
use crate::report::{self, LoadError};

/// Number of callers of each team.
const TEAM_CALLERS: usize = 6;
/// Time that each statement takes on a member in addition to its execution.
const STATEMENT_TIME: Duration = Duration::from_micros(500);
/// Number of probe writers that measure the longest write gap, each on another instance if the
/// workload goes through the proxies.
const PROBE_COUNT: usize = 3;
/// Index of the team of the probe writers; not the first team, which may be the flooding one.
const PROBE_TEAM_INDEX: usize = 1;
/// Delay between two writes of a probe writer.
const PROBE_INTERVAL: Duration = Duration::from_millis(25);
/// Factor by which a flooding team exceeds its rate.
const FLOOD_FACTOR: f64 = 10.0;

/// Measurements of one team.
#[derive(Debug, Serialize)]
struct TeamReport {
    team: &'static str,
    answered: u64,
    refused: u64,
    unknown: u64,
    p50_ms: f64,
    p99_ms: f64,
    service_share: f64,
}

/// Measurements of a run.
#[derive(Debug, Serialize)]
struct ProfileReport {
    profile: &'static str,
    path: &'static str,
    fault: &'static str,
    seed: u64,
    seconds: u64,
    instances: usize,
    replica_read_share: f64,
    longest_write_gap_ms: u64,
    worst_team: &'static str,
    worst_service_share: f64,
    worst_p99_ms: f64,
    refused_inside_rate_percent: f64,
    refusals: BTreeMap<String, u64>,
    unknown: u64,
    own_writes_missed: u64,
    table_writes: u64,
    table_reads: u64,
    teams: Vec<TeamReport>,
}

/// Runs a workload and prints its report.
pub fn run(options: &ProfileOptions, json: bool) -> Result<(), LoadError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let report = runtime.block_on(run_profile(options))?;
    let text = format_report(&report);
    runtime.shutdown_background();
    report::print_report(&report, json, text)
}

async fn run_profile(options: &ProfileOptions) -> Result<ProfileReport, LoadError> {
    let profile = DeploymentProfile::from_name(options.profile);
    let lab = LabOptions {
        instances: options.instances,
        extra_statement_time: STATEMENT_TIME,
        ..LabOptions::new(profile.clone())
    };
    let mut environment = LabEnvironment::start(lab).await?;
    let (addresses, _relays) = caller_addresses(&environment, options.path).await?;
    create_tables(&environment).await?;
    let context = Arc::new(RunContext {
        keys: environment.keys.clone(),
        addresses,
        team_counts: profile.teams.iter().map(|_| Mutex::default()).collect(),
        end: Instant::now() + options.duration(),
        profile,
    });
    let before = environment.services.platform.counts();
    let probes: Vec<_> =
        (0..PROBE_COUNT).map(|probe| tokio::spawn(probe_writes(context.clone(), probe))).collect();
    let mut callers = Vec::new();
    for team in 0..context.profile.teams.len() {
        for caller in 0..TEAM_CALLERS {
            let seed = options.seed * 10_000 + (team * TEAM_CALLERS + caller) as u64;
            let rate = caller_rate(options, &context.profile, team);
            callers.push(tokio::spawn(caller::run_caller(context.clone(), team, seed, rate)));
        }
    }
    fault_injection::inject_fault(&mut environment, options.fault, options.duration() / 3).await;
    for caller in callers {
        caller.await.expect("a caller does not panic");
    }
    let after = environment.services.platform.counts();
    let mut longest_gap = Duration::ZERO;
    for probe in probes {
        longest_gap = longest_gap.max(probe.await.expect("a probe does not panic"));
    }
    let measurements = RunMeasurements {
        replica_read_fraction: replica_read_fraction(&environment),
        longest_gap,
        table_writes: after.writes - before.writes,
        table_reads: after.reads - before.reads,
    };
    Ok(build_report(options, &context, &measurements))
}

/// Returns the requests per second of each caller of a team.
fn caller_rate(options: &ProfileOptions, profile: &DeploymentProfile, team: usize) -> f64 {
    let rate = profile.teams[team].rate * options.intensity / TEAM_CALLERS as f64;
    let is_flooding = options.fault == FaultKind::Flood && team == 0;
    if is_flooding { rate * FLOOD_FACTOR / options.intensity } else { rate }
}

/// Returns the callers' addresses by database, and the relays to keep until the run ends.
async fn caller_addresses(
    environment: &LabEnvironment,
    path: AccessPath,
) -> Result<(Vec<Vec<SocketAddr>>, Vec<TcpRelay>), LoadError> {
    let mut relays = Vec::new();
    let mut addresses = Vec::new();
    for database in environment.options.profile.databases {
        match path {
            AccessPath::Proxy => {
                let all = environment.instances.iter().map(|running| running.address);
                addresses.push(all.collect());
            }
            AccessPath::Naive => {
                let group = environment.group(database).expect("the lab starts every group");
                let relay = TcpRelay::start(group.addresses[0]).await?;
                addresses.push(vec![relay.address()]);
                relays.push(relay);
            }
        }
    }
    Ok((addresses, relays))
}

/// Creates and fills the tables of every database before the workload starts, so that these
/// statements do not count as its requests.
async fn create_tables(environment: &LabEnvironment) -> Result<(), LoadError> {
    let profile = &environment.options.profile;
    let table = profile.browse_table;
    for database in profile.databases {
        let address = environment.instances[0].address;
        let team = profile.teams[0].name;
        let client = caller::connect(address, team, &environment.keys[0], database, None).await?;
        let values: Vec<String> = (0..BROWSE_ROWS).map(|id| format!("({id}, 0)")).collect();
        client
            .batch_execute(&format!("CREATE TABLE {table} (id int PRIMARY KEY, state int)"))
            .await?;
        client.batch_execute(&format!("INSERT INTO {table} VALUES {}", values.join(", "))).await?;
        client.batch_execute("CREATE TABLE bookings (id bigint PRIMARY KEY, team text)").await?;
    }
    Ok(())
}

/// Returns the fraction of reads that replicas served; zero if no read went through a proxy.
fn replica_read_fraction(environment: &LabEnvironment) -> f64 {
    let sum = |count: fn(&ReadCounts) -> &AtomicU64| -> u64 {
        let instances = environment.instances.iter();
        instances
            .map(|running| count(&running.instance.counters.reads).load(Ordering::Relaxed))
            .sum()
    };
    let (replica, primary) = (sum(|reads| &reads.replica), sum(|reads| &reads.primary));
    replica as f64 / (replica + primary).max(1) as f64
}

/// Writes to the first database until the run ends.
///
/// Returns the longest time without a successful write.
async fn probe_writes(context: Arc<RunContext>, probe: usize) -> Duration {
    let choices = &context.addresses[0];
    let address = choices[probe % choices.len()];
    let (name, key) =
        (context.profile.teams[PROBE_TEAM_INDEX].name, &context.keys[PROBE_TEAM_INDEX]);
    let database = context.profile.databases[0];
    let mut client = None;
    let mut last_success = Instant::now();
    let mut longest_gap = Duration::ZERO;
    let mut number = 0_u64;
    while Instant::now() < context.end {
        if client.is_none() {
            client = caller::connect(address, name, key, database, None).await.ok();
        }
        number += 1;
        // Above the ids of the callers' bookings.
        let id = (probe as u64 + 1) << 56 | number;
        let sql = format!("INSERT INTO bookings VALUES ({id}, 'probe')");
        if let Some(connection) = &client {
            let response =
                tokio::time::timeout(REQUEST_TIMEOUT, connection.simple_query(&sql)).await;
            match response {
                Ok(Ok(_)) => {
                    longest_gap = longest_gap.max(last_success.elapsed());
                    last_success = Instant::now();
                }
                Ok(Err(error)) if !error.is_closed() => {}
                _ => client = None,
            }
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    longest_gap.max(last_success.elapsed())
}

/// Measurements that the callers do not count themselves.
struct RunMeasurements {
    replica_read_fraction: f64,
    longest_gap: Duration,
    table_writes: u64,
    table_reads: u64,
}

fn build_report(
    options: &ProfileOptions,
    context: &RunContext,
    measurements: &RunMeasurements,
) -> ProfileReport {
    let mut teams = Vec::new();
    let (mut refused, mut sent, mut unknown, mut missed) = (0, 0, 0, 0);
    let mut refusals: BTreeMap<String, u64> = BTreeMap::new();
    for (index, profile) in context.profile.teams.iter().enumerate() {
        let counts = context.team_counts[index].lock();
        let total = counts.answered + counts.refused + counts.unknown;
        let is_flooding = options.fault == FaultKind::Flood && index == 0;
        if !is_flooding {
            refused += counts.refused;
            sent += total;
            unknown += counts.unknown;
            for (sqlstate, count) in &counts.error_codes {
                *refusals.entry(sqlstate.clone()).or_default() += count;
            }
        }
        missed += counts.own_writes_missed;
        teams.push(TeamReport {
            team: profile.name,
            answered: counts.answered,
            refused: counts.refused,
            unknown: counts.unknown,
            p50_ms: counts.latencies.value_at_quantile(0.5) as f64 / 1_000.0,
            p99_ms: counts.latencies.value_at_quantile(0.99) as f64 / 1_000.0,
            service_share: counts.answered as f64 / total.max(1) as f64,
        });
    }
    let first_measured = usize::from(options.fault == FaultKind::Flood);
    let others = &teams[first_measured..];
    let worst = others
        .iter()
        .min_by(|one, other| one.service_share.total_cmp(&other.service_share))
        .expect("there are several teams");
    let worst_p99_ms = others.iter().map(|team| team.p99_ms).fold(0.0, f64::max);
    ProfileReport {
        profile: options.profile.label(),
        path: if options.path == AccessPath::Proxy { "proxy" } else { "naive" },
        fault: options.fault.label(),
        seed: options.seed,
        seconds: options.seconds,
        instances: options.instances,
        replica_read_share: measurements.replica_read_fraction,
        longest_write_gap_ms: measurements.longest_gap.as_millis() as u64,
        worst_team: worst.team,
        worst_service_share: worst.service_share,
        worst_p99_ms,
        refused_inside_rate_percent: 100.0 * refused as f64 / sent.max(1) as f64,
        refusals,
        unknown,
        own_writes_missed: missed,
        table_writes: measurements.table_writes,
        table_reads: measurements.table_reads,
        teams,
    }
}

fn format_report(report: &ProfileReport) -> String {
    let mut text = format!(
        "{} {} fault={} seed={} {} s, {} instances\n",
        report.profile, report.path, report.fault, report.seed, report.seconds, report.instances
    );
    _ = writeln!(
        text,
        "replica share {:.3}  write gap {} ms  worst team {} {:.4} (p99 {:.1} ms)  refused {:.3}%  \
         {:?}  unknown {}  own writes missed {}  table writes {} reads {}",
        report.replica_read_share,
        report.longest_write_gap_ms,
        report.worst_team,
        report.worst_service_share,
        report.worst_p99_ms,
        report.refused_inside_rate_percent,
        report.refusals,
        report.unknown,
        report.own_writes_missed,
        report.table_writes,
        report.table_reads
    );
    for team in &report.teams {
        _ = writeln!(
            text,
            "  {:<14} answered {:>6} refused {:>5} unknown {:>4}  p50 {:>7.1} ms  p99 {:>7.1} ms",
            team.team, team.answered, team.refused, team.unknown, team.p50_ms, team.p99_ms
        );
    }
    text
}
