//! Compares latency, throughput, CPU time and memory of direct, naive and proxied access.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use lab::environment::{LabEnvironment, LabOptions};
use lab::login;
use lab::profile::{DeploymentProfile, ProfileName};
use lab::relay::TcpRelay;
use serde::Serialize;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};
use tokio_postgres::{Client, Config, NoTls};

use crate::cli::OverheadOptions;
use crate::report::{self, LoadError};
use crate::resource_usage;

/// Name of the proxy's threads, by which their CPU time is found.
const PROXY_THREAD_NAME: &str = "hb-proxy";
/// Statement that every caller repeats.
const STATEMENT: &str = "SELECT id, hall FROM seats WHERE id = 1";
/// Factor on the teams' rates, so that no statement is refused.
const RATE_FACTOR: f64 = 10_000.0;
/// Connections and slots of a member, so that the stand-in is not the bottleneck.
const AMPLE_CAPACITY: u32 = 1_024;
/// Period over which the idle proxy's CPU time is measured.
const IDLE_CPU_PERIOD: Duration = Duration::from_secs(2);

/// Measurements of an access path at one number of callers.
#[derive(Debug, Serialize)]
struct OverheadPoint {
    path: &'static str,
    callers: usize,
    statements_per_second: f64,
    p50_us: u64,
    p99_us: u64,
    proxy_cpu_us_per_statement: Option<f64>,
}

/// Result of the comparison.
#[derive(Debug, Serialize)]
struct OverheadReport {
    points: Vec<OverheadPoint>,
    idle_callers: usize,
    bytes_per_idle_caller: f64,
    idle_proxy_cpu_percent: f64,
}

/// Runs the comparison and prints its report.
pub fn run(options: &OverheadOptions, json: bool) -> Result<(), LoadError> {
    let proxy = build_runtime(PROXY_THREAD_NAME, options.proxy_threads)?;
    let standin = build_runtime("hb-standin", 4)?;
    let callers = build_runtime("hb-caller", 4)?;
    let mut profile = DeploymentProfile::from_name(ProfileName::Volksdans);
    profile.slots = AMPLE_CAPACITY;
    profile.connections = AMPLE_CAPACITY;
    let lab = LabOptions {
        instances: 1,
        emulate_delays: false,
        rate_factor: RATE_FACTOR,
        proxy_runtime: Some(proxy.handle().clone()),
        ..LabOptions::new(profile)
    };
    let environment = standin.block_on(LabEnvironment::start(lab))?;
    let report = callers.block_on(measure(&environment, options))?;
    let text = format_report(&report);
    proxy.shutdown_background();
    standin.shutdown_background();
    report::print_report(&report, json, text)
}

fn build_runtime(name: &str, threads: usize) -> Result<Runtime, LoadError> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()?;
    Ok(runtime)
}

async fn measure(
    environment: &LabEnvironment,
    options: &OverheadOptions,
) -> Result<OverheadReport, LoadError> {
    let proxy_address = environment.instances[0].address;
    let database = environment.options.profile.databases[0];
    let group = environment.group(database).expect("the lab starts every group");
    let direct_address = group.addresses[0];
    let relay = TcpRelay::start(direct_address).await?;
    let setup = connect(environment, proxy_address).await?;
    setup.batch_execute("CREATE TABLE seats (id int PRIMARY KEY, hall text)").await?;
    setup.batch_execute("INSERT INTO seats VALUES (1, 'parish')").await?;
    let idle_cpu = idle_cpu_fraction().await;
    let paths = [("direct", direct_address), ("naive", relay.address()), ("proxy", proxy_address)];
    let mut points = Vec::new();
    let time = Duration::from_secs(options.seconds);
    for callers in options.callers.iter().copied() {
        for (path, address) in paths {
            points.push(measure_point(environment, path, address, callers, time).await?);
        }
    }
    let bytes_per_idle_caller =
        measure_idle_memory(environment, proxy_address, options.idle).await?;
    Ok(OverheadReport {
        points,
        idle_callers: options.idle,
        bytes_per_idle_caller,
        idle_proxy_cpu_percent: 100.0 * idle_cpu,
    })
}

/// Returns the idle proxy's CPU time as a fraction of one core.
async fn idle_cpu_fraction() -> f64 {
    let before = resource_usage::thread_cpu_time(PROXY_THREAD_NAME);
    tokio::time::sleep(IDLE_CPU_PERIOD).await;
    (resource_usage::thread_cpu_time(PROXY_THREAD_NAME) - before).as_secs_f64()
        / IDLE_CPU_PERIOD.as_secs_f64()
}

async fn measure_point(
    environment: &LabEnvironment,
    path: &'static str,
    address: SocketAddr,
    callers: usize,
    time: Duration,
) -> Result<OverheadPoint, LoadError> {
    let mut clients = Vec::new();
    for _ in 0..callers {
        clients.push(connect(environment, address).await?);
    }
    let before = resource_usage::thread_cpu_time(PROXY_THREAD_NAME);
    let start = Instant::now();
    let tasks: Vec<_> = clients
        .into_iter()
        .map(|client| tokio::spawn(send_repeatedly(client, start + time)))
        .collect();
    let mut latencies = report::latency_histogram();
    for task in tasks {
        latencies.add(task.await.expect("a caller does not panic")?).expect("same bounds");
    }
    let seconds = start.elapsed().as_secs_f64();
    let cpu_time = (resource_usage::thread_cpu_time(PROXY_THREAD_NAME) - before).as_secs_f64();
    let statements = latencies.len() as f64;
    let proxy_cpu = (path == "proxy").then_some(cpu_time * 1e6 / statements);
    Ok(OverheadPoint {
        path,
        callers,
        statements_per_second: statements / seconds,
        p50_us: latencies.value_at_quantile(0.5),
        p99_us: latencies.value_at_quantile(0.99),
        proxy_cpu_us_per_statement: proxy_cpu,
    })
}

async fn send_repeatedly(
    client: Client,
    end: Instant,
) -> Result<Histogram<u64>, tokio_postgres::Error> {
    let mut latencies = report::latency_histogram();
    while Instant::now() < end {
        let start = Instant::now();
        client.simple_query(STATEMENT).await?;
        latencies.saturating_record(start.elapsed().as_micros() as u64);
    }
    Ok(latencies)
}

async fn connect(
    environment: &LabEnvironment,
    address: SocketAddr,
) -> Result<Client, tokio_postgres::Error> {
    let profile = &environment.options.profile;
    let (client, connection) = Config::new()
        .host(address.ip().to_string())
        .port(address.port())
        .user(profile.teams[0].name)
        .password(&environment.keys[0])
        .dbname(profile.databases[0])
        .connect(NoTls)
        .await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Returns by how many bytes this process grows for each idle caller.
///
/// Callers are bare sockets, so that almost all of the growth is the proxy's.
async fn measure_idle_memory(
    environment: &LabEnvironment,
    address: SocketAddr,
    count: usize,
) -> Result<f64, LoadError> {
    if count == 0 {
        return Ok(0.0);
    }
    let profile = &environment.options.profile;
    let mut startup = login::startup_message(profile.teams[0].name, profile.databases[0]);
    startup.extend(login::password_message(&environment.keys[0]));
    let before = resource_usage::resident_bytes();
    let mut connections = Vec::with_capacity(count);
    for _ in 0..count {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(&startup).await?;
        let mut received = Vec::new();
        let mut buffer = [0; 1024];
        while !received.ends_with(login::READY_FOR_QUERY) {
            let read = stream.read(&mut buffer).await?;
            if read == 0 {
                return Err(std::io::Error::other("the proxy refused an idle caller").into());
            }
            received.extend_from_slice(&buffer[..read]);
        }
        connections.push(stream);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    Ok(resource_usage::resident_bytes().saturating_sub(before) as f64 / count as f64)
}

fn format_report(report: &OverheadReport) -> String {
    let mut text =
        String::from("path    callers  statements/s    p50 us    p99 us  proxy cpu us/statement\n");
    for point in &report.points {
        let cpu = point.proxy_cpu_us_per_statement.map_or("-".to_owned(), |us| format!("{us:.1}"));
        _ = writeln!(
            text,
            "{:<7} {:>7} {:>13.0} {:>9} {:>9}  {cpu:>22}",
            point.path, point.callers, point.statements_per_second, point.p50_us, point.p99_us
        );
    }
    _ = writeln!(
        text,
        "idle callers {}: {:.0} bytes each; idle proxy {:.2}% of a core",
        report.idle_callers, report.bytes_per_idle_caller, report.idle_proxy_cpu_percent
    );
    text
}
