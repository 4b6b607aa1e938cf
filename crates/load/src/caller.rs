//! Callers of a workload: they connect, send requests at a rate and count the outcomes.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use lab::profile::DeploymentProfile;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tokio::time::sleep_until;
use tokio_postgres::{Client, Config, NoTls};

use crate::report;

/// Mean number of requests after which a caller reconnects, to a random database and instance.
const MEAN_REQUESTS_PER_CONNECTION: u32 = 200;
/// Number of rows in the browsed table.
pub const BROWSE_ROWS: i32 = 200;
/// Fraction of requests that read the browsed table; the others insert a booking.
const BROWSE_FRACTION: f64 = 0.8;
/// Bounds a request; the caller reconnects when it expires.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Request outcomes of one team.
#[derive(Debug)]
pub struct TeamCounts {
    /// Number of successful requests.
    pub answered: u64,
    /// Number of requests that were refused as not run or had no connection.
    pub refused: u64,
    /// Number of requests whose outcome is unknown.
    pub unknown: u64,
    /// Latencies of successful requests in microseconds.
    pub latencies: Histogram<u64>,
    /// Number of errors by SQLSTATE; `lost` if the server reported none.
    pub error_codes: BTreeMap<String, u64>,
    /// Number of reads that checked a write of the same session.
    pub own_write_reads: u64,
    /// Number of those reads that did not return the write.
    pub own_writes_missed: u64,
}

impl Default for TeamCounts {
    fn default() -> Self {
        Self {
            answered: 0,
            refused: 0,
            unknown: 0,
            latencies: report::latency_histogram(),
            error_codes: BTreeMap::new(),
            own_write_reads: 0,
            own_writes_missed: 0,
        }
    }
}

/// State that the callers of a run share.
pub struct RunContext {
    /// Profile of the deployment.
    pub profile: DeploymentProfile,
    /// API keys of the teams.
    pub keys: Vec<String>,
    /// Addresses to connect to, by database.
    pub addresses: Vec<Vec<SocketAddr>>,
    /// Request outcomes by team.
    pub team_counts: Vec<Mutex<TeamCounts>>,
    /// End of the run.
    pub end: Instant,
}

/// Connection of a caller to a database.
struct CallerConnection {
    client: Client,
    database: usize,
}

/// Sends `rate` requests per second until the run ends; reconnects at random.
pub async fn run_caller(context: Arc<RunContext>, team: usize, seed: u64, rate: f64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut connection: Option<CallerConnection> = None;
    let mut tokens: HashMap<usize, String> = HashMap::new();
    let interval = Duration::from_secs_f64(1.0 / rate);
    let mut next_send = Instant::now() + interval.mul_f64(random.random::<f64>());
    let mut request_number = 0_u64;
    while next_send < context.end {
        sleep_until(next_send.into()).await;
        next_send += interval;
        request_number += 1;
        if random.random_range(0..MEAN_REQUESTS_PER_CONNECTION) == 0 {
            store_session_token(&connection, &mut tokens).await;
            connection = None;
        }
        if connection.is_none() {
            connection = reconnect(&context, team, &mut random, &tokens).await;
        }
        let Some(open_connection) = &connection else {
            context.team_counts[team].lock().refused += 1;
            continue;
        };
        // Unique over all callers, which have different seeds.
        let id = (seed << 32) + request_number;
        let is_browse = random.random::<f64>() < BROWSE_FRACTION;
        let row = random.random_range(0..BROWSE_ROWS);
        if !send_request(&context, team, open_connection, is_browse, row, id).await {
            connection = None;
        }
    }
}

/// Stores the session token of a connection, for the next connection to its database.
async fn store_session_token(
    connection: &Option<CallerConnection>,
    tokens: &mut HashMap<usize, String>,
) {
    let Some(open_connection) = connection else {
        return;
    };
    let Ok(messages) = open_connection.client.simple_query("SHOW hibiscus.session").await else {
        return;
    };
    for message in messages {
        if let tokio_postgres::SimpleQueryMessage::Row(row) = message {
            tokens.insert(open_connection.database, row.get(0).unwrap_or_default().to_owned());
        }
    }
}

/// Connects to a random database and instance; returns `None` on failure.
async fn reconnect(
    context: &RunContext,
    team: usize,
    random: &mut StdRng,
    tokens: &HashMap<usize, String>,
) -> Option<CallerConnection> {
    let database = random.random_range(0..context.addresses.len());
    let choices = &context.addresses[database];
    let address = choices[random.random_range(0..choices.len())];
    let (name, key) = (context.profile.teams[team].name, &context.keys[team]);
    let database_name = context.profile.databases[database];
    let token = tokens.get(&database).map(String::as_str);
    let client = connect(address, name, key, database_name, token).await.ok()?;
    Some(CallerConnection { client, database })
}

/// Opens a connection, with a session token if there is one.
pub async fn connect(
    address: SocketAddr,
    team: &str,
    key: &str,
    database: &str,
    token: Option<&str>,
) -> Result<Client, tokio_postgres::Error> {
    let mut config = Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user(team)
        .password(key)
        .dbname(database)
        .connect_timeout(REQUEST_TIMEOUT);
    if let Some(token) = token {
        config.options(format!("-c hibiscus.session={token}"));
    }
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Sends one request; returns `false` if the connection must be replaced.
async fn send_request(
    context: &RunContext,
    team: usize,
    connection: &CallerConnection,
    is_browse: bool,
    row: i32,
    id: u64,
) -> bool {
    let table = context.profile.browse_table;
    let sql = if is_browse {
        format!("SELECT id, state FROM {table} WHERE id >= {row} AND id < {row} + 10")
    } else {
        format!("INSERT INTO bookings VALUES ({id}, '{}')", context.profile.teams[team].name)
    };
    let start = Instant::now();
    let response =
        tokio::time::timeout(REQUEST_TIMEOUT, connection.client.simple_query(&sql)).await;
    let elapsed = start.elapsed();
    if !record_response(&mut context.team_counts[team].lock(), &response, elapsed) {
        return response.is_ok_and(|response| response.is_err_and(|error| !error.is_closed()));
    }
    if !is_browse {
        check_own_write(context, team, connection, id).await;
    }
    true
}

/// Counts a response and returns whether the request succeeded.
fn record_response<T, E>(
    counts: &mut TeamCounts,
    response: &Result<Result<T, tokio_postgres::Error>, E>,
    elapsed: Duration,
) -> bool {
    match response {
        Ok(Ok(_)) => {
            counts.answered += 1;
            counts.latencies.saturating_record(elapsed.as_micros() as u64);
            return true;
        }
        Ok(Err(error)) => {
            let sqlstate = error.code().map_or("lost", |code| code.code());
            *counts.error_codes.entry(sqlstate.to_owned()).or_default() += 1;
            let not_run = error.as_db_error().is_some_and(|e| e.message().starts_with("not run"));
            if not_run {
                counts.refused += 1;
            } else {
                counts.unknown += 1;
            }
        }
        Err(_) => counts.unknown += 1,
    }
    false
}

/// Reads a write back on its session and counts whether it is visible.
async fn check_own_write(
    context: &RunContext,
    team: usize,
    connection: &CallerConnection,
    id: u64,
) {
    let sql = format!("SELECT count(*) FROM bookings WHERE id = {id}");
    let Ok(messages) = connection.client.simple_query(&sql).await else {
        return;
    };
    let found = messages.iter().any(|message| {
        matches!(message, tokio_postgres::SimpleQueryMessage::Row(row) if row.get(0) == Some("1"))
    });
    let mut counts = context.team_counts[team].lock();
    counts.own_write_reads += 1;
    counts.own_writes_missed += u64::from(!found);
}
