//! Settings of a proxy instance, given as flags or environment variables.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use clap::Args;

/// Address of a member of a database.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberAddress {
    /// Name of the database.
    pub database: String,
    /// Logical name of the member.
    pub member: String,
    /// Availability zone of the member.
    pub zone: String,
    /// Address of the member.
    pub address: SocketAddr,
}

impl FromStr for MemberAddress {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let form = "expected DATABASE/MEMBER=ZONE@IP:PORT";
        let (name, location) = text.split_once('=').ok_or(form)?;
        let (database, member) = name.split_once('/').ok_or(form)?;
        let (zone, address) = location.split_once('@').ok_or(form)?;
        if database.is_empty() || member.is_empty() || zone.is_empty() {
            return Err(form.to_owned());
        }
        let address =
            address.parse().map_err(|_| format!("address {address:?} is not IP:PORT; {form}"))?;
        Ok(Self {
            database: database.to_owned(),
            member: member.to_owned(),
            zone: zone.to_owned(),
            address,
        })
    }
}

/// Parses a duration in milliseconds.
fn parse_millis(text: &str) -> Result<Duration, String> {
    let millis: u64 =
        text.parse().map_err(|_| "expected a whole number of milliseconds".to_owned())?;
    Ok(Duration::from_millis(millis))
}

/// Settings of a proxy instance.
#[derive(Args, Clone, Debug)]
pub struct ProxySettings {
    /// Name of this instance, unique in its environment.
    #[arg(long, env = "HIBISCUS_INSTANCE")]
    pub instance: String,
    /// Availability zone of this instance.
    #[arg(long, env = "HIBISCUS_ZONE")]
    pub zone: String,
    /// Environment whose document this instance serves.
    #[arg(long, env = "HIBISCUS_ENVIRONMENT", default_value = "production")]
    pub environment: String,
    /// Address for callers.
    #[arg(long, env = "HIBISCUS_LISTEN", default_value = "127.0.0.1:6432")]
    pub listen: SocketAddr,
    /// Address for the other instances.
    #[arg(long, env = "HIBISCUS_PEER_LISTEN", default_value = "127.0.0.1:6433")]
    pub peer_listen: SocketAddr,
    /// Address of the platform's services, such as http://127.0.0.1:7000.
    #[arg(long, env = "HIBISCUS_PLATFORM")]
    pub platform: String,
    /// Address of a member: DATABASE/MEMBER=ZONE@IP:PORT; may be given several times.
    #[arg(long = "member", env = "HIBISCUS_MEMBERS", value_delimiter = ',')]
    pub members: Vec<MemberAddress>,
    /// User name for connections to databases.
    #[arg(long, env = "HIBISCUS_DATABASE_USER", default_value = "hibiscus")]
    pub database_user: String,
    /// Password for connections to databases.
    #[arg(long, env = "HIBISCUS_DATABASE_PASSWORD", default_value = "", hide_env_values = true)]
    pub database_password: String,
    /// Secret shared by all instances, which authenticates session tokens.
    #[arg(long, env = "HIBISCUS_TOKEN_SECRET", hide_env_values = true)]
    pub token_secret: String,
    /// Expected number of instances, among which the connections of a database are split.
    #[arg(long, env = "HIBISCUS_EXPECTED_INSTANCES", default_value_t = 9)]
    pub expected_instances: usize,
    /// Maximum number of connected callers.
    #[arg(long, env = "HIBISCUS_MAX_CALLERS", default_value_t = 20_000)]
    pub max_callers: usize,
    /// Maximum length of a message from a caller, in bytes.
    #[arg(long, env = "HIBISCUS_MAX_MESSAGE_BYTES", default_value_t = 16 * 1024 * 1024)]
    pub max_message_bytes: usize,
    /// Timeout of a caller's startup and authentication, in milliseconds.
    #[arg(long, env = "HIBISCUS_STARTUP_TIMEOUT_MS", default_value = "5000", value_parser = parse_millis)]
    pub startup_timeout: Duration,
    /// Timeout of opening a connection to a member, in milliseconds.
    #[arg(long, env = "HIBISCUS_CONNECT_TIMEOUT_MS", default_value = "1000", value_parser = parse_millis)]
    pub connect_timeout: Duration,
    /// Timeout of open transactions while the instance drains, in milliseconds.
    #[arg(long, env = "HIBISCUS_DRAIN_DEADLINE_MS", default_value = "20000", value_parser = parse_millis)]
    pub drain_deadline: Duration,
    /// Time for the load balancer to detect that the instance is leaving, in milliseconds.
    #[arg(long, env = "HIBISCUS_DRAIN_NOTICE_MS", default_value = "1000", value_parser = parse_millis)]
    pub drain_notice: Duration,
}
