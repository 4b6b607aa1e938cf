//! Startup of a caller's connection: negotiation, authentication, session parameters.

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
use crate::parameter::{INSTANCE_NAME, REPORTED, SESSION_TOKEN, SessionParameters};

/// Name of the team that callers without a key act for.
pub const OPEN_TEAM: &str = "open";
/// Largest message accepted before authentication, in bytes.
const STARTUP_LIMIT: usize = 10_000;
/// Minor protocol version that is offered to callers who ask for a later one.
const OFFERED_MINOR: i32 = 0;

/// Why a connection does not become a session.
#[derive(Debug)]
pub enum StartupEnd {
    /// The caller was refused and is told so.
    Refused(RequestRefusal),
    /// The connection carried a cancel request or was closed.
    Done,
}

impl From<SocketError> for StartupEnd {
    fn from(error: SocketError) -> Self {
        match error {
            SocketError::Malformed { source } => {
                let reason = RefusalReason::ProtocolViolation;
                Self::Refused(RequestRefusal::new(reason, source.to_string()))
            }
            _ => Self::Done,
        }
    }
}

impl From<RequestRefusal> for StartupEnd {
    fn from(refusal: RequestRefusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Who a caller is and what it uses.
#[derive(Debug)]
pub struct CallerIdentity {
    /// Team of the caller.
    pub team: TeamId,
    /// Key by which the caller authenticated; none for callers without one.
    pub key: Option<KeyHash>,
    /// Database of the connection.
    pub database: DatabaseId,
}

/// Caller that has passed startup.
#[derive(Debug)]
pub struct StartedCaller {
    /// Who the caller is.
    pub identity: CallerIdentity,
    /// Parameters set at startup.
    pub parameters: SessionParameters,
    /// Positions of the token handed over at startup.
    pub positions: SessionPositions,
    /// Registration for cancel requests.
    pub registration: CancelRegistration,
}

/// Runs the startup of a connection.
pub async fn run(
    socket: &mut FramedSocket,
    instance: &Arc<ProxyInstance>,
) -> Result<StartedCaller, StartupEnd> {
    let startup = read_startup(socket, instance).await?;
    if instance.phase() >= InstancePhase::Draining {
        return Err(refuse(RefusalReason::Stopping, "the instance is stopping"));
    }
    let identity = authenticate(socket, instance, &startup).await?;
    let mut parameters = SessionParameters::default();
    let positions = read_options(instance, &startup, &mut parameters)?;
    let registration = instance.cancel_registry.register();
    let mut output = BytesMut::new();
    backend::put(&mut output, PgWireBackendMessage::Authentication(Authentication::Ok));
    for (name, value) in REPORTED {
        backend::put_parameter_status(&mut output, name, value);
    }
    backend::put_parameter_status(&mut output, INSTANCE_NAME, &instance.settings.instance);
    let secret = SecretKey::I32(registration.secret());
    let key = BackendKeyData::new(registration.process(), secret);
    backend::put(&mut output, PgWireBackendMessage::BackendKeyData(key));
    backend::put_ready_for_query(&mut output, TransactionState::Idle);
    socket.write(&output).await?;
    Ok(StartedCaller { identity, parameters, positions, registration })
}

fn refuse(reason: RefusalReason, detail: impl Into<String>) -> StartupEnd {
    StartupEnd::Refused(RequestRefusal::new(reason, detail))
}

/// Reads messages up to the startup and answers negotiation and cancel requests.
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
            // Encryption is not offered; the caller decides whether to go on without.
            Some(PgWireFrontendMessage::SslNegotiation(_)) => socket.write(b"N").await?,
            Some(PgWireFrontendMessage::CancelRequest(cancel)) => {
                if let Some(secret) = cancel.secret_key.as_i32() {
                    instance.cancel_registry.cancel(cancel.pid, secret).await;
                }
                return Err(StartupEnd::Done);
            }
            Some(PgWireFrontendMessage::Startup(startup)) => {
                if startup.protocol_number_minor > 0 {
                    negotiate(socket, &startup.parameters).await?;
                }
                return Ok(startup.parameters);
            }
            Some(_) => {
                return Err(refuse(RefusalReason::ProtocolViolation, "expected a startup message"));
            }
        }
    }
}

/// Refuses lengths that no startup message has, before anything is buffered for them.
fn check_startup_length(input: &[u8]) -> Result<(), StartupEnd> {
    let Some(field) = input.first_chunk::<4>() else {
        return Ok(());
    };
    let length = u32::from_be_bytes(*field) as usize;
    if (8..=STARTUP_LIMIT).contains(&length) {
        return Ok(());
    }
    let detail = format!("startup message of {length} bytes, 8 to {STARTUP_LIMIT} are accepted");
    Err(refuse(RefusalReason::MessageTooLarge, detail))
}

async fn negotiate(
    socket: &mut FramedSocket,
    parameters: &BTreeMap<String, String>,
) -> Result<(), StartupEnd> {
    let unknown = parameters.keys().filter(|name| name.starts_with("_pq_.")).cloned().collect();
    let message = NegotiateProtocolVersion::new(OFFERED_MINOR, unknown);
    let mut output = BytesMut::new();
    backend::put(&mut output, PgWireBackendMessage::NegotiateProtocolVersion(message));
    Ok(socket.write(&output).await?)
}

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
    let name = startup.get("database").map_or(user, String::as_str);
    let password = if user == OPEN_TEAM { None } else { Some(ask_password(socket).await?) };
    let patience = instance.settings.startup_timeout / 2;
    if timeout(patience, instance.wait_until_ready()).await.is_err() {
        let detail = "no configuration is in force on this instance yet";
        return Err(refuse(RefusalReason::NoConfiguration, detail));
    }
    let catalog = instance.catalog();
    let found = catalog.team_id(user).and_then(|key| Some((key, catalog.team(key)?)));
    let Some((team, entry)) = found else {
        return Err(refuse(RefusalReason::UnknownTeam, format!("team {user:?} is not known")));
    };
    let key = password.map(|password| find_key(entry, &password)).transpose()?;
    let Some(database) = catalog.database_id(name) else {
        let detail = format!("database {name:?} is not known");
        return Err(refuse(RefusalReason::UnknownDatabase, detail));
    };
    if !entry.databases.is_empty() && !entry.databases.iter().any(|allowed| allowed == name) {
        let detail = format!("team {user:?} may not use database {name:?}");
        return Err(refuse(RefusalReason::DatabaseDenied, detail));
    }
    Ok(CallerIdentity { team, key, database })
}

fn find_key(team: &TeamEntry, password: &str) -> Result<KeyHash, StartupEnd> {
    let key = team.keys.iter().find(|key| key.matches(password));
    let detail = format!("the key is not one of team {:?}", team.name);
    key.copied().ok_or_else(|| refuse(RefusalReason::WrongKey, detail))
}

async fn ask_password(socket: &mut FramedSocket) -> Result<String, StartupEnd> {
    let mut output = BytesMut::new();
    let request = Authentication::CleartextPassword;
    backend::put(&mut output, PgWireBackendMessage::Authentication(request));
    socket.write(&output).await?;
    loop {
        if let Some(header) = socket.peek_header()?
            && (header.tag != frontend::PASSWORD || header.total_bytes > STARTUP_LIMIT)
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

/// Takes parameters and the session token from the startup message.
fn read_options(
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
            // Drivers send parameters of their own accord; one that cannot be kept is ignored.
            name => _ = parameters.set(name, value),
        }
    }
    let options = startup.get("options").map(String::as_str).unwrap_or_default();
    let mut words = options.split_whitespace();
    while let Some(word) = words.next() {
        let setting = match word {
            "-c" => words.next(),
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
