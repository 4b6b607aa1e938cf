//! Starts and stops a whole environment: stand-ins, proxies and the administration API.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use admin::api::{self, AdminError};
use admin::settings::{AdminSettings, OperatorCredential};
use clock::MonotonicClock;
use net::platform::{PlatformClient, PlatformError};
use net::store::{DocumentStore, StoreError};
use proxy::instance::{self, InstanceError, RunningInstance};
use proxy::settings::{MemberAddress, ProxySettings};
use snafu::{ResultExt as _, Snafu};
use standin::control::{self, StandinServices};
use standin::group::{DatabaseGroup, GroupError, GroupSettings, MemberSettings};
use state::credential::{KeyHash, generate_key};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use wire::platform::{InstanceRecord, InstanceState};

use crate::profile::DeploymentProfile;
use crate::relay::TcpRelay;

/// Bounds the wait until every instance of a starting environment is ready, and each request that
/// stores the first document.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Name of the environment in the platform's document store.
pub const ENVIRONMENT: &str = "lab";
/// Name of the only operator of the administration API.
pub const OPERATOR: &str = "lab";

/// Errors of starting an environment.
#[derive(Debug, Snafu)]
pub enum LabError {
    /// A listener could not be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A database group did not start.
    #[snafu(display("{source}"), context(false))]
    Group {
        /// Underlying error.
        source: GroupError,
    },
    /// An instance did not start.
    #[snafu(display("{source}"), context(false))]
    Instance {
        /// Underlying error.
        source: InstanceError,
    },
    /// The administration API did not start.
    #[snafu(display("{source}"), context(false))]
    Admin {
        /// Underlying error.
        source: AdminError,
    },
    /// The platform's client could not be created.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// Underlying error.
        source: PlatformError,
    },
    /// The first document could not be stored.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// Underlying error.
        source: StoreError,
    },
    /// The document cannot be written as TOML.
    #[snafu(display("{source}"), context(false))]
    Document {
        /// Underlying error.
        source: toml::ser::Error,
    },
    /// An instance was not ready when the start timeout expired, or its start panicked.
    #[snafu(display("the environment did not come up within {} s", START_TIMEOUT.as_secs()))]
    StartTimeout,
}

/// Options of an environment.
#[derive(Clone, Debug)]
pub struct LabOptions {
    /// Topology, capacities and teams of the deployment.
    pub profile: DeploymentProfile,
    /// Number of proxy instances.
    pub instances: usize,
    /// Port of the first instance; the others follow. Zero lets the system choose all ports.
    pub first_port: u16,
    /// Port of the administration API; zero lets the system choose.
    pub admin_port: u16,
    /// Port of the stand-ins' control API; zero lets the system choose.
    pub control_port: u16,
    /// Whether the stand-ins emulate the profile's zone delay and connect time.
    pub emulate_delays: bool,
    /// Time that each statement takes on a member in addition to its execution.
    pub extra_statement_time: Duration,
    /// Factor by which the teams' rates and bursts are multiplied.
    pub rate_factor: f64,
    /// Runtime for the proxies; the current one if absent.
    pub proxy_runtime: Option<Handle>,
}

impl LabOptions {
    /// Creates the default options for a deployment: three instances, on ports that the system
    /// chooses.
    pub fn new(profile: DeploymentProfile) -> Self {
        Self {
            profile,
            instances: 3,
            first_port: 0,
            admin_port: 0,
            control_port: 0,
            emulate_delays: true,
            extra_statement_time: Duration::ZERO,
            rate_factor: 1.0,
            proxy_runtime: None,
        }
    }
}

/// Running environment; dropping it stops all its parts.
pub struct LabEnvironment {
    /// Options with which it was started.
    pub options: LabOptions,
    /// Stand-ins for the platform and the databases.
    pub services: Arc<StandinServices>,
    /// Proxy instances.
    pub instances: Vec<RunningInstance>,
    /// Relays between each instance and the platform.
    pub platform_relays: Vec<TcpRelay>,
    /// Relays in front of each instance's peer listener.
    pub peer_relays: Vec<TcpRelay>,
    /// Address of the administration API.
    pub admin_address: SocketAddr,
    /// Address of the stand-ins' control API.
    pub control_address: SocketAddr,
    /// API keys of the teams, in the profile's order.
    pub keys: Vec<String>,
    /// Bearer token of the operator.
    pub operator_token: String,
    _tasks: JoinSet<()>,
}

impl LabEnvironment {
    /// Starts an environment and waits until every instance is ready and knows all primaries.
    ///
    /// Returns [`LabError::StartTimeout`] if the started instances are not ready within 10 s.
    pub async fn start(options: LabOptions) -> Result<Self, LabError> {
        let services = Arc::new(StandinServices::default());
        let mut tasks = JoinSet::new();
        let members = start_groups(&services, &options).await?;
        let (listener, control_address) = listen(options.control_port).await?;
        let api_services = services.clone();
        tasks.spawn(async move { drop(control::serve(listener, api_services).await) });
        let platform = format!("http://{control_address}");
        let keys: Vec<String> = options.profile.teams.iter().map(|_| generate_key()).collect();
        store_document(&platform, &options, &keys).await?;
        let operator_token = generate_key();
        let admin_address = start_admin(&mut tasks, &options, &platform, &operator_token).await?;
        let mut environment = Self {
            options,
            services,
            instances: Vec::new(),
            platform_relays: Vec::new(),
            peer_relays: Vec::new(),
            admin_address,
            control_address,
            keys,
            operator_token,
            _tasks: tasks,
        };
        for index in 0..environment.options.instances {
            let relay = TcpRelay::start(control_address)
                .await
                .context(ListenSnafu { address: control_address })?;
            let platform = format!("http://{}", relay.address());
            environment.platform_relays.push(relay);
            let settings = environment.instance_settings(index, &platform, &members);
            environment.start_instance(settings).await?;
        }
        environment.wait_until_ready().await?;
        Ok(environment)
    }

    async fn start_instance(&mut self, settings: ProxySettings) -> Result<(), LabError> {
        let (name, zone) = (settings.instance.clone(), settings.zone.clone());
        let runtime = self.options.proxy_runtime.clone().unwrap_or_else(Handle::current);
        let start = instance::start(settings, Arc::new(MonotonicClock));
        let running = runtime.spawn(start).await.map_err(|_| LabError::StartTimeout)??;
        let address = running.peer_address;
        let relay = TcpRelay::start(address).await.context(ListenSnafu { address })?;
        let peer = relay.address();
        self.peer_relays.push(relay);
        let record = InstanceRecord { name, zone, peer, state: InstanceState::Live };
        self.services.platform.put_instance(record);
        self.instances.push(running);
        Ok(())
    }

    fn instance_settings(
        &self,
        index: usize,
        platform: &str,
        members: &[MemberAddress],
    ) -> ProxySettings {
        let options = &self.options;
        let port = match options.first_port {
            0 => 0,
            first => first + index as u16,
        };
        ProxySettings {
            instance: format!("entry-{}", index + 1),
            zone: options.profile.zones[index % options.profile.zones.len()].to_owned(),
            environment: ENVIRONMENT.to_owned(),
            listen: loopback_address(port),
            peer_listen: loopback_address(0),
            platform: platform.to_owned(),
            members: members.to_vec(),
            database_user: "hibiscus".to_owned(),
            database_password: String::new(),
            token_secret: "lab-token-secret".to_owned(),
            expected_instances: options.instances,
            max_callers: 20_000,
            max_message_bytes: 16 * 1024 * 1024,
            startup_timeout: Duration::from_secs(5),
            connect_timeout: Duration::from_secs(1),
            drain_deadline: Duration::from_secs(10),
            drain_notice: Duration::from_millis(200),
        }
    }

    async fn wait_until_ready(&self) -> Result<(), LabError> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let ready = self.instances.iter().all(|running| {
                let databases = running.instance.databases();
                running.instance.is_ready()
                    && databases.iter().all(|database| database.primary().is_some())
            });
            if ready {
                return Ok(());
            }
            if Instant::now() > deadline {
                return StartTimeoutSnafu.fail();
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns the database group with this name.
    pub fn group(&self, name: &str) -> Option<Arc<DatabaseGroup>> {
        self.services.groups.read().get(name).cloned()
    }
}

fn loopback_address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

async fn listen(port: u16) -> Result<(TcpListener, SocketAddr), LabError> {
    let address = loopback_address(port);
    let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    let address = listener.local_addr().context(ListenSnafu { address })?;
    Ok((listener, address))
}

async fn start_groups(
    services: &StandinServices,
    options: &LabOptions,
) -> Result<Vec<MemberAddress>, LabError> {
    let profile = &options.profile;
    let mut members = Vec::new();
    for (index, database) in profile.databases.iter().enumerate() {
        // A group's first member starts as primary. The zones are rotated, so that each database
        // has its first primary in another zone.
        let zones = (0..3).map(|offset| profile.zones[(index + offset) % 3]);
        let settings = GroupSettings {
            name: (*database).to_owned(),
            members: zones
                .map(|zone| MemberSettings {
                    name: zone.to_owned(),
                    zone: zone.to_owned(),
                    listen: loopback_address(0),
                })
                .collect(),
            slots: profile.slots as usize,
            connections: profile.connections,
            connect_ms: if options.emulate_delays {
                profile.connect_time.as_millis() as u64
            } else {
                0
            },
            zone_delay_us: if options.emulate_delays {
                profile.zone_delay.as_micros() as u64
            } else {
                0
            },
            statement_us: options.extra_statement_time.as_micros() as u64,
        };
        let group = DatabaseGroup::start(settings).await?;
        for (member, address) in group.members.iter().zip(&group.addresses) {
            members.push(MemberAddress {
                database: (*database).to_owned(),
                member: member.name.clone(),
                zone: member.zone.clone(),
                address: *address,
            });
        }
        services.groups.write().insert((*database).to_owned(), Arc::new(group));
    }
    Ok(members)
}

async fn store_document(
    platform: &str,
    options: &LabOptions,
    keys: &[String],
) -> Result<(), LabError> {
    let client = PlatformClient::new(platform, START_TIMEOUT)?;
    let mut document = options.profile.document(keys);
    for team in &mut document.teams {
        team.rate *= options.rate_factor;
        team.burst *= options.rate_factor;
    }
    let text = toml::to_string(&document)?;
    let store = DocumentStore::new(&client, ENVIRONMENT);
    store.replace(0, &text, "first", OPERATOR).await?;
    Ok(())
}

async fn start_admin(
    tasks: &mut JoinSet<()>,
    options: &LabOptions,
    platform: &str,
    operator_token: &str,
) -> Result<SocketAddr, LabError> {
    let (listener, address) = listen(options.admin_port).await?;
    let operator = OperatorCredential {
        name: OPERATOR.to_owned(),
        token_hash: KeyHash::generate(operator_token),
    };
    let settings = AdminSettings {
        listen: address,
        environment: ENVIRONMENT.to_owned(),
        promote_from: None,
        platform: platform.to_owned(),
        operators: vec![operator],
    };
    tasks.spawn(async move { drop(api::serve_on(listener, settings).await) });
    Ok(address)
}
