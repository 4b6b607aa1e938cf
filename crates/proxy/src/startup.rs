//! Startup of a caller's connection: version negotiation, authentication and session parameters.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::BytesMut;
use net::socket::{FramedSocket, SocketError};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, NegotiateProtocolVersion, SecretKey,
};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, SslNegotiationMetaMessage,
};
use state::catalog::{DatabaseId, TeamEntry, TeamId};
use state::credential::KeyHash;
use state::session::SessionPositions;
use tokio::time::timeout;
use wire::backend::{self, TransactionState};
use wire::frontend;
use wire::refusal::{RefusalReason, RequestRefusal};

use crate::cancel::CancelRegistration;
use crate::instance::{InstancePhase, ProxyInstance};
use crate::parameter::{INSTANCE_NAME, REPORTED_PARAMETERS, SESSION_TOKEN, SessionParameters};

/// User name of callers without a key, and the team that they act for.
pub const ANONYMOUS_TEAM: &str = "open";
/// Maximum length of a message before authentication, in bytes.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Latest supported minor version of protocol 3, offered to callers that request a later one.
const SUPPORTED_MINOR_VERSION: i32 = 0;

/// Reason for which a connection does not become a session.
#[derive(Debug)]
pub enum StartupEnd {
    /// The caller is sent a refusal.
    Refused(RequestRefusal),
    /// The connection carried a cancel request, was closed or failed.
    NoSession,
}

impl From<SocketError> for StartupEnd {
    fn from(error: SocketError) -> Self {
        match error {
            SocketError::Malformed { source } => {
                let reason = RefusalReason::ProtocolViolation;
                Self::Refused(RequestRefusal::new(reason, source.to_string()))
            }
            _ => Self::NoSession,
        }
    }
}

impl From<RequestRefusal> for StartupEnd {
    fn from(refusal: RequestRefusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Authenticated team, key and database of a caller.
#[derive(Debug)]
pub struct CallerIdentity {
    /// Team of the caller.
    pub team: TeamId,
    /// Hash of the key that authenticated the caller, or none for a caller without a key.
    pub key: Option<KeyHash>,
    /// Database that the caller connects to.
    pub database: DatabaseId,
}

/// Caller that has completed startup.
#[derive(Debug)]
pub struct AuthenticatedCaller {
    /// Identity of the caller.
    pub identity: CallerIdentity,
    /// Parameters set at startup.
    pub parameters: SessionParameters,
    /// Observed positions from the session token given at startup.
    pub positions: SessionPositions,
    /// Registration for cancel requests.
    pub cancel_registration: CancelRegistration,
}

/// Runs the startup of a connection. Fails if it does not become a session.
pub async fn run(
    socket: &mut FramedSocket,
    instance: &Arc<ProxyInstance>,
) -> Result<AuthenticatedCaller, StartupEnd> {
    let startup = read_startup(socket, instance).await?;
    if instance.phase() >= InstancePhase::Draining {
        return Err(refuse(RefusalReason::Stopping, "the instance is stopping"));
    }
    let identity = authenticate(socket, instance, &startup).await?;
    let mut parameters = SessionParameters::default();
    let positions = read_parameters(instance, &startup, &mut parameters)?;
    let cancel_registration = instance.cancel_registry.register();
    let mut output = BytesMut::new();
    backend::put(&mut output, PgWireBackendMessage::Authentication(Authentication::Ok));
    for (name, value) in REPORTED_PARAMETERS {
        backend::put_parameter_status(&mut output, name, value);
    }
    backend::put_parameter_status(&mut output, INSTANCE_NAME, &instance.settings.instance);
    let secret = SecretKey::I32(cancel_registration.secret_key());
    let key_data = BackendKeyData::new(cancel_registration.process_id(), secret);
    backend::put(&mut output, PgWireBackendMessage::BackendKeyData(key_data));
    backend::put_ready_for_query(&mut output, TransactionState::Idle);
    socket.write(&output).await?;
    Ok(AuthenticatedCaller { identity, parameters, positions, cancel_registration })
}

fn refuse(reason: RefusalReason, detail: impl Into<String>) -> StartupEnd {
    StartupEnd::Refused(RequestRefusal::new(reason, detail))
}

/// Reads messages up to the startup message, and handles encryption and cancel requests.
async fn read_startup(
    socket: &mut FramedSocket,
    instance: &Arc<ProxyInstance>,
) -> Result<BTreeMap<String, String>, StartupEnd> {
    let mut context = DecodeContext::default();
    loop {
        check_startup_length(socket.input())?;
        let message = PgWireFrontendMessage::decode(socket.input(), &context)
            .map_err(|_| refuse(RefusalReason::ProtocolViolation, "malformed startup message"))?;
        match message {
            None => socket.fill().await?,
            Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                context.awaiting_frontend_ssl = false;
            }
            // Encryption is not supported; the caller decides whether to continue without it.
            Some(PgWireFrontendMessage::SslNegotiation(_)) => socket.write(b"N").await?,
            Some(PgWireFrontendMessage::CancelRequest(cancel)) => {
                if let Some(secret) = cancel.secret_key.as_i32() {
                    instance.cancel_registry.cancel(cancel.pid, secret).await;
                }
                return Err(StartupEnd::NoSession);
            }
            Some(PgWireFrontendMessage::Startup(startup)) => {
                if startup.protocol_number_minor > 0 {
                    negotiate_version(socket, &startup.parameters).await?;
                }
                return Ok(startup.parameters);
            }
            Some(_) => {
                return Err(refuse(
                    RefusalReason::ProtocolViolation,
                    "unexpected message before the startup message",
                ));
            }
        }
    }
}

/// Refuses invalid lengths of a startup message before anything is buffered for it.
///
/// The shortest message has 8 bytes: the length field and the protocol version.
fn check_startup_length(input: &[u8]) -> Result<(), StartupEnd> {
    let Some(length_field) = input.first_chunk::<4>() else {
        return Ok(());
    };
    let length = u32::from_be_bytes(*length_field) as usize;
    if (8..=MAX_STARTUP_BYTES).contains(&length) {
        return Ok(());
    }
    let detail =
        format!("startup message of {length} bytes is outside the range 8 to {MAX_STARTUP_BYTES}");
    Err(refuse(RefusalReason::MessageTooLarge, detail))
}

async fn negotiate_version(
    socket: &mut FramedSocket,
    parameters: &BTreeMap<String, String>,
) -> Result<(), StartupEnd> {
    let unknown = parameters.keys().filter(|name| name.starts_with("_pq_.")).cloned().collect();
    let message = NegotiateProtocolVersion::new(SUPPORTED_MINOR_VERSION, unknown);
    let mut output = BytesMut::new();
    backend::put(&mut output, PgWireBackendMessage::NegotiateProtocolVersion(message));
    Ok(socket.write(&output).await?)
}

/// Authenticates a caller whose user name is the team and whose password is one of the team's keys.
async fn authenticate(
    socket: &mut FramedSocket,
    instance: &Arc<ProxyInstance>,
    startup: &BTreeMap<String, String>,
) -> Result<CallerIdentity, StartupEnd> {
    let user = startup.get("user").map(String::as_str).unwrap_or_default();
    if user.is_empty() {
        let detail = "the startup message names no user";
        return Err(refuse(RefusalReason::ProtocolViolation, detail));
    }
    let database_name = startup.get("database").map_or(user, String::as_str);
    let password =
        if user == ANONYMOUS_TEAM { None } else { Some(request_password(socket).await?) };
    // Less than the whole timeout, so that the caller gets this refusal and not the timeout's.
    let configuration_timeout = instance.settings.startup_timeout / 2;
    if timeout(configuration_timeout, instance.wait_until_ready()).await.is_err() {
        let detail = "no configuration is in force on this instance yet";
        return Err(refuse(RefusalReason::NoConfiguration, detail));
    }
    let catalog = instance.catalog();
    let found = catalog.team_id(user).and_then(|id| Some((id, catalog.team(id)?)));
    let Some((team, team_entry)) = found else {
        return Err(refuse(RefusalReason::UnknownTeam, format!("team {user:?} does not exist")));
    };
    let key = password.map(|password| find_key(team_entry, &password)).transpose()?;
    let Some(database) = catalog.database_id(database_name) else {
        let detail = format!("database {database_name:?} does not exist");
        return Err(refuse(RefusalReason::UnknownDatabase, detail));
    };
    if !team_entry.databases.is_empty()
        && !team_entry.databases.iter().any(|allowed| allowed == database_name)
    {
        let detail = format!("team {user:?} may not use database {database_name:?}");
        return Err(refuse(RefusalReason::DatabaseDenied, detail));
    }
    Ok(CallerIdentity { team, key, database })
}

fn find_key(team: &TeamEntry, password: &str) -> Result<KeyHash, StartupEnd> {
    let key = team.keys.iter().find(|key| key.matches(password));
    let detail = format!("the password is not a key of team {:?}", team.name);
    key.copied().ok_or_else(|| refuse(RefusalReason::WrongKey, detail))
}

async fn request_password(socket: &mut FramedSocket) -> Result<String, StartupEnd> {
    let mut output = BytesMut::new();
    let request = Authentication::CleartextPassword;
    backend::put(&mut output, PgWireBackendMessage::Authentication(request));
    socket.write(&output).await?;
    loop {
        if let Some(header) = socket.peek_header()?
            && (header.tag != frontend::PASSWORD || header.total_bytes > MAX_STARTUP_BYTES)
        {
            let detail = "expected a password message";
            return Err(refuse(RefusalReason::ProtocolViolation, detail));
        }
        if let Some(frame) = socket.take_frame()? {
            let body = frame.body();
            let text = body.strip_suffix(b"\0").unwrap_or(body);
            return Ok(String::from_utf8_lossy(text).into_owned());
        }
        socket.fill().await?;
    }
}

/// Reads session parameters and the session token from the startup message.
fn read_parameters(
    instance: &ProxyInstance,
    startup: &BTreeMap<String, String>,
    parameters: &mut SessionParameters,
) -> Result<SessionPositions, StartupEnd> {
    let mut positions = SessionPositions::default();
    for (name, value) in startup {
        match name.to_ascii_lowercase().as_str() {
            "user" | "database" | "options" | "replication" => {}
            name if name.starts_with("_pq_.") => {}
            SESSION_TOKEN => positions = read_token(instance, value)?,
            // Drivers send parameters on their own, so unsupported ones are ignored.
            name => _ = parameters.set(name, value),
        }
    }
    let options = startup.get("options").map(String::as_str).unwrap_or_default();
    let mut arguments = options.split_whitespace();
    while let Some(argument) = arguments.next() {
        let setting = match argument {
            "-c" => arguments.next(),
            other => other.strip_prefix("--").or_else(|| other.strip_prefix("-c")),
        };
        let Some((name, value)) = setting.and_then(|setting| setting.split_once('=')) else {
            continue;
        };
        if name == SESSION_TOKEN {
            positions = read_token(instance, value)?;
        } else {
            _ = parameters.set(&name.to_ascii_lowercase(), value);
        }
    }
    Ok(positions)
}

fn read_token(instance: &ProxyInstance, text: &str) -> Result<SessionPositions, StartupEnd> {
    let decoded = instance.tokens.decode(text);
    decoded.map_err(|error| refuse(RefusalReason::InvalidToken, error.to_string()))
}
