//! Helpers of the end-to-end tests: environments, caller connections, fault injection, waiting.

// Each test target uses only some of the helpers.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use lab::environment::{LabEnvironment, LabOptions};
use lab::profile::{DeploymentProfile, ProfileName};
use standin::fault::FaultChange;
use tokio::time::{Instant, sleep};
use tokio_postgres::error::SqlState;
use tokio_postgres::{AsyncMessage, Client, Config, Error, NoTls};

/// Bounds the wait for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// Declares tests that each run a function in a new environment with the given number of instances.
#[macro_export]
macro_rules! lab_tests {
    ($($name:ident($instances:literal);)*) => {
        mod cases {
            $(
                #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
                async fn $name() {
                    let environment = super::common::start_environment($instances).await;
                    super::$name(environment).await;
                }
            )*
        }
    };
}

/// Starts an environment without emulated delays and with 100 times the profile's rates.
pub async fn start_environment(instances: usize) -> LabEnvironment {
    let profile = DeploymentProfile::from_name(ProfileName::Volksdans);
    let options = LabOptions {
        instances,
        emulate_delays: false,
        rate_factor: 100.0,
        ..LabOptions::new(profile)
    };
    LabEnvironment::start(options).await.expect("the environment starts")
}

/// Connection of a caller.
pub struct TestCaller {
    pub client: Client,
    token: std::sync::Arc<std::sync::Mutex<String>>,
}

impl TestCaller {
    /// Returns the current session token.
    pub async fn token(&self) -> String {
        let messages = self.client.simple_query("SHOW hibiscus.session").await.expect("token");
        for message in messages {
            if let tokio_postgres::SimpleQueryMessage::Row(row) = message {
                return row.get(0).unwrap_or_default().to_owned();
            }
        }
        self.token.lock().expect("token").clone()
    }

    /// Runs statements by the simple query protocol and returns the first column of every row.
    pub async fn first_column(&self, sql: &str) -> Result<Vec<String>, Error> {
        let messages = self.client.simple_query(sql).await?;
        let rows = messages.into_iter().filter_map(|message| match message {
            tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
            _ => None,
        });
        Ok(rows.collect())
    }
}

/// Returns the connection settings for an instance, as the first team.
pub fn config(environment: &LabEnvironment, instance: usize) -> Config {
    config_for_address(environment, environment.instances[instance].address)
}

/// Returns the connection settings for an address, as the first team.
pub fn config_for_address(environment: &LabEnvironment, address: SocketAddr) -> Config {
    let profile = &environment.options.profile;
    let mut config = Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user(profile.teams[0].name)
        .password(&environment.keys[0])
        .dbname(profile.databases[0])
        .connect_timeout(Duration::from_secs(5));
    config
}

/// Opens a connection with the given settings.
pub async fn connect_with_config(config: &Config) -> Result<TestCaller, Error> {
    let (client, mut connection) = config.connect(NoTls).await?;
    let token = std::sync::Arc::new(std::sync::Mutex::new(String::new()));
    tokio::spawn(async move {
        while let Some(Ok(message)) =
            std::future::poll_fn(|context| connection.poll_message(context)).await
        {
            if let AsyncMessage::Notice(notice) = message {
                drop(notice);
            }
        }
    });
    Ok(TestCaller { client, token })
}

/// Opens a connection to an instance, as the first team.
pub async fn connect(environment: &LabEnvironment, instance: usize) -> TestCaller {
    connect_with_config(&config(environment, instance)).await.expect("the caller connects")
}

/// Returns the SQLSTATE of an error; empty if the server reported none.
pub fn sqlstate(error: &Error) -> String {
    error.code().map(SqlState::code).unwrap_or_default().to_owned()
}

/// Changes the injected faults of a member of the first database.
pub fn inject_fault(environment: &LabEnvironment, member: &str, change: FaultChange) {
    let database = environment.options.profile.databases[0];
    let group = environment.group(database).expect("the group runs");
    group.member(member).expect("the member exists").change_fault(&change);
}

/// Returns the first database's primary in the view of an instance.
pub fn observed_primary(environment: &LabEnvironment, instance: usize) -> Option<String> {
    let database = environment.options.profile.databases[0];
    let handles = environment.instances[instance].instance.databases();
    let handle = handles.iter().find(|handle| *handle.name == *database)?;
    let (index, _) = handle.primary()?;
    Some(handle.members[index].name.to_string())
}

/// Waits until a condition holds.
pub async fn wait_for(condition_name: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for {condition_name}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until the first database's replicas have applied the primary's log.
pub async fn wait_for_replicas(environment: &LabEnvironment) {
    let database = environment.options.profile.databases[0];
    let group = environment.group(database).expect("the group runs");
    wait_for("replicas to catch up", || {
        let applied: Vec<u64> = group
            .members
            .iter()
            .map(|member| member.replication.lock().position().applied)
            .collect();
        applied.iter().all(|index| *index == applied[0])
    })
    .await;
}
