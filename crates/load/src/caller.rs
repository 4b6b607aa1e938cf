//! Callers of a workload: what they send, where they go, what they are told.

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

/// Mean number of requests after which a caller reconnects, perhaps elsewhere.
const ROAM_AFTER: u32 = 200;
/// Rows of the table that callers browse.
pub const BROWSE_ROWS: i32 = 200;
/// Part of the requests that browse.
const BROWSE_PART: f64 = 0.8;
/// Time that a request may take before its caller gives up and reconnects.
pub const CALLER_PATIENCE: Duration = Duration::from_secs(10);

/// What happened to one team.
#[derive(Debug)]
pub struct TeamTally {
    /// Requests carried out.
    pub answered: u64,
    /// Requests refused as not run, or without a connection.
    pub refused: u64,
    /// Requests whose outcome is not known.
    pub unknown: u64,
    /// Times of requests carried out, in microseconds.
    pub latencies: Histogram<u64>,
    /// SQLSTATEs of the others.
    pub reasons: BTreeMap<String, u64>,
    /// Reads of an own write.
    pub reads: u64,
    /// Those that missed it.
    pub stale_reads: u64,
}

impl Default for TeamTally {
    fn default() -> Self {
        Self {
            answered: 0,
            refused: 0,
            unknown: 0,
            latencies: report::histogram(),
            reasons: BTreeMap::new(),
            reads: 0,
            stale_reads: 0,
        }
    }
}

/// What every caller of a run shares.
pub struct RunContext {
    /// Sizes of the deployment.
    pub profile: DeploymentProfile,
    /// Keys of the teams.
    pub keys: Vec<String>,
    /// Addresses by database.
    pub addresses: Vec<Vec<SocketAddr>>,
    /// What happened to each team.
    pub tallies: Vec<Mutex<TeamTally>>,
    /// When the run ends.
    pub end: Instant,
}

/// Open connection of a caller.
struct OpenCaller {
    client: Client,
    database: usize,
}

/// Sends requests at a rate until the run ends, roaming now and then.
pub async fn call(context: Arc<RunContext>, team: usize, seed: u64, rate: f64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut open: Option<OpenCaller> = None;
    let mut token: HashMap<usize, String> = HashMap::new();
    let pause = Duration::from_secs_f64(1.0 / rate);
    let mut next = Instant::now() + pause.mul_f64(random.random::<f64>());
    let mut number = 0_u64;
    while next < context.end {
        sleep_until(next.into()).await;
        next += pause;
        number += 1;
        if random.random_range(0..ROAM_AFTER) == 0 {
            remember_token(&open, &mut token).await;
            open = None;
        }
        if open.is_none() {
            open = reconnect(&context, team, &mut random, &token).await;
        }
        let Some(current) = &open else {
            context.tallies[team].lock().refused += 1;
            continue;
        };
        let id = (seed << 32) + number;
        let browse = random.random::<f64>() < BROWSE_PART;
        let row = random.random_range(0..BROWSE_ROWS);
        if !request(&context, team, current, browse, row, id).await {
            open = None;
        }
    }
}

async fn remember_token(open: &Option<OpenCaller>, token: &mut HashMap<usize, String>) {
    let Some(current) = open else {
        return;
    };
    let Ok(messages) = current.client.simple_query("SHOW hibiscus.session").await else {
        return;
    };
    for message in messages {
        if let tokio_postgres::SimpleQueryMessage::Row(row) = message {
            token.insert(current.database, row.get(0).unwrap_or_default().to_owned());
        }
    }
}

async fn reconnect(
    context: &RunContext,
    team: usize,
    random: &mut StdRng,
    token: &HashMap<usize, String>,
) -> Option<OpenCaller> {
    let database = random.random_range(0..context.addresses.len());
    let choices = &context.addresses[database];
    let address = choices[random.random_range(0..choices.len())];
    let (name, key) = (context.profile.teams[team].name, &context.keys[team]);
    let database_name = context.profile.databases[database];
    let token = token.get(&database).map(String::as_str);
    let client = connect(address, name, key, database_name, token).await.ok()?;
    Some(OpenCaller { client, database })
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
        .connect_timeout(CALLER_PATIENCE);
    if let Some(token) = token {
        config.options(format!("-c hibiscus.session={token}"));
    }
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Sends one request; false if the connection is of no more use.
async fn request(
    context: &RunContext,
    team: usize,
    open: &OpenCaller,
    browse: bool,
    row: i32,
    id: u64,
) -> bool {
    let table = context.profile.browse_table;
    let sql = if browse {
        format!("SELECT id, state FROM {table} WHERE id >= {row} AND id < {row} + 10")
    } else {
        format!("INSERT INTO bookings VALUES ({id}, '{}')", context.profile.teams[team].name)
    };
    let begin = Instant::now();
    let answer = tokio::time::timeout(CALLER_PATIENCE, open.client.simple_query(&sql)).await;
    let time = begin.elapsed();
    if !note_answer(&mut context.tallies[team].lock(), &answer, time) {
        return answer.is_ok_and(|answer| answer.is_err_and(|error| !error.is_closed()));
    }
    if !browse {
        check_own_write(context, team, open, id).await;
    }
    true
}

/// Counts an answer and tells whether the request was carried out.
fn note_answer<T, E>(
    tally: &mut TeamTally,
    answer: &Result<Result<T, tokio_postgres::Error>, E>,
    time: Duration,
) -> bool {
    match answer {
        Ok(Ok(_)) => {
            tally.answered += 1;
            tally.latencies.saturating_record(time.as_micros() as u64);
            return true;
        }
        Ok(Err(error)) => {
            let state = error.code().map_or("lost", |code| code.code());
            *tally.reasons.entry(state.to_owned()).or_default() += 1;
            let not_run = error.as_db_error().is_some_and(|e| e.message().starts_with("not run"));
            if not_run {
                tally.refused += 1;
            } else {
                tally.unknown += 1;
            }
        }
        Err(_) => tally.unknown += 1,
    }
    false
}

async fn check_own_write(context: &RunContext, team: usize, open: &OpenCaller, id: u64) {
    let sql = format!("SELECT count(*) FROM bookings WHERE id = {id}");
    let Ok(messages) = open.client.simple_query(&sql).await else {
        return;
    };
    let found = messages.iter().any(|message| {
        matches!(message, tokio_postgres::SimpleQueryMessage::Row(row) if row.get(0) == Some("1"))
    });
    let mut tally = context.tallies[team].lock();
    tally.reads += 1;
    tally.stale_reads += u64::from(!found);
}
