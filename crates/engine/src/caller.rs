//! Session of a caller: reads requests, lets members run them and writes answers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::dialogue::{
    BlockState, DialogueError, DialogueStep, ForwardPlan, SessionDialogue, StatementClass,
};
use metrics::{counter, histogram};
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::directory::DocumentIndex;
use crate::interface::{CallerRequest, RefusalCode, WireCodec};
use crate::lines::LineBuffer;
use crate::node::{EngineEdge, GatewayNode};
use crate::record::RouteRecord;
use crate::statement::{PinnedTransaction, StatementContext, StatementResult};

/// Time in which a caller must open its session.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which the opening of a session waits for the first document; callers give up after 2 s.
const DOCUMENT_PATIENCE: Duration = Duration::from_millis(1_200);
/// Time between looks for the first document.
const DOCUMENT_PAUSE: Duration = Duration::from_millis(20);
/// Pause after an accept that failed, for want of descriptors as a rule.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time in which a caller must take an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which the balancer may still send callers here after the instance said it leaves.
const BALANCER_TIME: Duration = Duration::from_millis(2_300);

/// Open session.
struct CallerSession<E: EngineEdge> {
    node: Rc<GatewayNode<E>>,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    input: LineBuffer,
    database: String,
    key: Option<String>,
    dialogue: SessionDialogue,
    session: u64,
    pinned: Option<PinnedTransaction>,
    /// Arrival of the statement that is being answered.
    began_at: Instant,
}

/// Route that a caller may use, with its team.
type AllowedRoute = (Rc<RouteRecord>, Rc<str>);

/// What a session waits for.
enum SessionEvent {
    Line(usize, Instant),
    Closed,
    RestedTooLong,
    Leaving,
}

impl<E: EngineEdge> GatewayNode<E> {
    /// Accepts callers.
    pub async fn accept_callers(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let node = self.clone();
                    tokio::task::spawn_local(async move {
                        node.callers.set(node.callers.get() + 1);
                        serve_caller(&node, stream).await;
                        node.callers.set(node.callers.get() - 1);
                    });
                }
                Err(error) => {
                    log_event!(LogEvent::CallerRefused, "cause=\"accept failed: {error}\"");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

async fn serve_caller<E: EngineEdge>(node: &Rc<GatewayNode<E>>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log_event!(LogEvent::CallerRefused, "cause=\"{error}\"");
        return;
    }
    let (reader, writer) = stream.into_split();
    let mut session = CallerSession {
        session: node.new_session(),
        began_at: node.now(),
        node: node.clone(),
        reader,
        writer,
        input: LineBuffer::default(),
        database: String::new(),
        key: None,
        dialogue: SessionDialogue::default(),
        pinned: None,
    };
    if session.open().await.is_some() {
        session.serve().await;
    }
    session.drop_transaction();
}

impl<E: EngineEdge> CallerSession<E> {
    /// Reads the opening of the session and answers it; none if the session is not open.
    async fn open(&mut self) -> Option<()> {
        let first = timeout(STARTUP_TIMEOUT, self.next_line()).await;
        let Ok(Some(length)) = first else {
            return None;
        };
        let request = E::Codec::decode_request(self.input.line(length));
        self.input.drop_line(length);
        let CallerRequest::Startup { database, key } = request else {
            self.refuse_startup(RefusalCode::Malformed, "a session must be opened first").await;
            return None;
        };
        (self.database, self.key) = (database, key);
        if !self.wait_for_document().await {
            self.refuse_startup(RefusalCode::Busy, "not run: the instance has no document yet")
                .await;
            return None;
        }
        if let Err((code, text)) = self.authorize() {
            self.refuse_startup(code, text).await;
            return None;
        }
        let mut out = Vec::new();
        E::Codec::encode_ready(&mut out, BlockState::Idle);
        self.write(&out).await
    }

    /// Waits a short while for the first document; without one nobody can be told what exists.
    async fn wait_for_document(&self) -> bool {
        let begun_at = self.node.now();
        while !self.node.directory.borrow().is_loaded() {
            if self.node.now().saturating_duration_since(begun_at) > DOCUMENT_PATIENCE {
                return false;
            }
            sleep(DOCUMENT_PAUSE).await;
        }
        true
    }

    async fn refuse_startup(&mut self, code: RefusalCode, text: &str) {
        log_event!(
            LogEvent::CallerRefused,
            "database={} code={code:?} document={}",
            self.database,
            self.document().version
        );
        let mut out = Vec::new();
        E::Codec::encode_error(&mut out, code, text);
        if self.write(&out).await.is_some() {
            // A caller that is gone already has no use for the end of the connection.
            let _ = self.writer.shutdown().await;
        }
    }

    async fn serve(&mut self) {
        loop {
            match self.wait().await {
                SessionEvent::Line(length, began_at) => {
                    let request = E::Codec::decode_request(self.input.line(length));
                    self.input.drop_line(length);
                    match request {
                        CallerRequest::Terminate => return,
                        CallerRequest::Statement { id, text, class } => {
                            self.began_at = began_at;
                            let answer = self.answer(&id, &text, &class, began_at).await;
                            if self.write(&answer).await.is_none() {
                                return;
                            }
                        }
                        CallerRequest::Startup { .. } | CallerRequest::Malformed => {
                            let mut out = Vec::new();
                            let code = RefusalCode::Malformed;
                            E::Codec::encode_error(&mut out, code, "request cannot be understood");
                            E::Codec::encode_ready(&mut out, self.dialogue.state());
                            if self.write(&out).await.is_none() {
                                return;
                            }
                        }
                    }
                }
                SessionEvent::RestedTooLong => {
                    log_event!(LogEvent::TransactionExpired, "database={}", self.database);
                    self.drop_transaction();
                    self.dialogue.fail_open();
                }
                SessionEvent::Closed | SessionEvent::Leaving => return,
            }
        }
    }

    /// Waits for a request, for the end of the session or for the end of a transaction's rest.
    async fn wait(&mut self) -> SessionEvent {
        if let Some(length) = self.input.line_length() {
            return SessionEvent::Line(length, self.node.now());
        }
        let node = self.node.clone();
        let rest = match self.document().transaction_idle_timeout {
            Some(limit) if self.dialogue.is_pinned() => Some(limit),
            _ => None,
        };
        let rested_too_long = async {
            match rest {
                Some(limit) => sleep(limit).await,
                None => std::future::pending().await,
            }
        };
        let idle = self.dialogue.state() == BlockState::Idle;
        let leaving = async {
            node.left().await;
            if !idle {
                std::future::pending::<()>().await;
            }
            // Closed before the balancer passes this instance over, callers would come back to it.
            let since = node.leaving_since().unwrap_or_else(|| node.now());
            let over = node.now().saturating_duration_since(since);
            sleep(BALANCER_TIME.saturating_sub(over)).await;
        };
        tokio::select! {
            biased;
            line = next_line::<E>(&mut self.input, &mut self.reader) => match line {
                Some(length) => SessionEvent::Line(length, node.now()),
                None => SessionEvent::Closed,
            },
            () = rested_too_long => SessionEvent::RestedTooLong,
            () = leaving => SessionEvent::Leaving,
        }
    }

    async fn next_line(&mut self) -> Option<usize> {
        next_line::<E>(&mut self.input, &mut self.reader).await
    }

    /// Decides about a statement and returns the answer.
    async fn answer(
        &mut self,
        id: &str,
        text: &str,
        class: &StatementClass,
        began_at: Instant,
    ) -> Vec<u8> {
        let mut out = Vec::new();
        let (route, team) = match self.authorize() {
            Ok(allowed) => allowed,
            Err((code, explanation)) => {
                self.drop_transaction();
                self.dialogue.fail_open();
                self.log_refusal(id, code, explanation);
                E::Codec::encode_error(&mut out, code, explanation);
                E::Codec::encode_ready(&mut out, self.dialogue.state());
                return out;
            }
        };
        match self.dialogue.handle(class, text, began_at) {
            DialogueStep::Acknowledge => E::Codec::encode_acknowledgement(&mut out),
            DialogueStep::Release => {
                self.drop_transaction();
                E::Codec::encode_acknowledgement(&mut out);
            }
            DialogueStep::Refuse(error) => {
                if self.dialogue.state() == BlockState::Failed {
                    self.drop_transaction();
                }
                let (code, explanation) = explain(error);
                E::Codec::encode_error(&mut out, code, explanation);
            }
            DialogueStep::Forward(plan) => {
                self.forward(&plan, &route, &team, id, text, &mut out).await;
            }
        }
        E::Codec::encode_ready(&mut out, self.dialogue.state());
        out
    }

    async fn forward(
        &mut self,
        plan: &ForwardPlan,
        route: &RouteRecord,
        team: &str,
        id: &str,
        text: &str,
        out: &mut Vec<u8>,
    ) {
        let pending = if plan.pinned { self.dialogue.take_pending() } else { Vec::new() };
        let context = StatementContext {
            plan,
            route,
            team,
            request_id: id,
            text,
            session_state: &self.dialogue,
            session_id: self.session,
            pending_setup: pending,
            arrived_at: self.began_at,
        };
        let result = self.node.run_statement(&context, self.pinned.as_ref()).await;
        let class = if plan.read_only { "read" } else { "write" };
        counter!(meter::REQUESTS, "class" => class).increment(1);
        let waited = self.node.now().saturating_duration_since(self.began_at);
        histogram!(meter::REQUEST_SECONDS, "class" => class).record(waited.as_secs_f64());
        match result {
            StatementResult::Success { content, position, transaction } => {
                self.dialogue.note_success(plan, position);
                self.pinned = if plan.commits { None } else { transaction.or(self.pinned.take()) };
                out.extend_from_slice(&content);
            }
            StatementResult::Failure { content, code, explanation } => {
                self.dialogue.note_failure(plan);
                if !plan.is_single() {
                    self.drop_transaction();
                }
                if content.is_empty() {
                    self.log_refusal(id, code, &explanation);
                    E::Codec::encode_error(out, code, &explanation);
                } else {
                    self.log_refusal(id, code, "answer of the member");
                    out.extend_from_slice(&content);
                }
            }
        }
    }

    /// Returns route and team, or why the caller may not go on.
    fn authorize(&self) -> Result<AllowedRoute, (RefusalCode, &'static str)> {
        let document = self.document();
        let Some(route) = document.route(&self.database) else {
            return Err((RefusalCode::UnknownDatabase, "no database of that name"));
        };
        let team = self.key.as_deref().and_then(|key| document.team_by_key(key));
        match team {
            Some(_) if !self.node.is_document_confirmed() => {
                Err((RefusalCode::Busy, "not run: whether the key is still valid cannot be told"))
            }
            Some(team) => Ok((route, team)),
            None if route.public => Ok((route, OPEN_TEAM.into())),
            None => Err((RefusalCode::UnknownKey, "the key is not known")),
        }
    }

    fn document(&self) -> Rc<DocumentIndex> {
        self.node.directory.borrow().document()
    }

    fn log_refusal(&self, id: &str, code: RefusalCode, explanation: &str) {
        counter!(meter::REFUSALS, "reason" => code.label()).increment(1);
        let document = self.document();
        let team = self.key.as_deref().and_then(|key| document.team_by_key(key));
        log_event!(
            LogEvent::RequestRefused,
            "request={id} database={} team={} code={} document={} state={:?} waited_ms={} \
             cause=\"{explanation}\"",
            self.database,
            team.as_deref().unwrap_or(OPEN_TEAM),
            code.label(),
            document.version,
            self.dialogue.state(),
            self.node.now().saturating_duration_since(self.began_at).as_millis()
        );
    }

    /// Ends the open transaction at the member.
    fn drop_transaction(&mut self) {
        if let Some(place) = self.pinned.take() {
            self.node.dispatch_release(&place.owner, place.transaction_id);
        }
    }

    async fn write(&mut self, bytes: &[u8]) -> Option<()> {
        timeout(WRITE_TIMEOUT, self.writer.write_all(bytes)).await.ok()?.ok()
    }
}

/// Name under which callers without a key are known to endpoints.
const OPEN_TEAM: &str = "-";

/// Reads until a whole line is there; none at the end of the stream or past the longest line.
async fn next_line<E: EngineEdge>(
    input: &mut LineBuffer,
    reader: &mut OwnedReadHalf,
) -> Option<usize> {
    loop {
        if let Some(length) = input.line_length() {
            return Some(length);
        }
        if input.len() > E::Codec::MAX_LINE_BYTES {
            return None;
        }
        match input.fill(reader).await {
            Ok(0) | Err(_) => return None,
            Ok(_) => {}
        }
    }
}

fn explain(error: DialogueError) -> (RefusalCode, &'static str) {
    match error {
        DialogueError::Malformed => {
            (RefusalCode::Malformed, "statement makes no sense in this state of the session")
        }
        DialogueError::UnknownName => (RefusalCode::UnknownName, "no statement of that name"),
        DialogueError::RolledBack => (RefusalCode::Aborted, "the transaction was rolled back"),
        DialogueError::ReadOnly => (RefusalCode::ReadOnly, "the transaction only reads"),
    }
}
