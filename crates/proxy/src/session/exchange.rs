//! One exchange with a member: what is sent, and how its replies reach the caller.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use net::member::{MemberConnection, MemberError};
use net::socket::{FramedSocket, SocketError};
use state::position::LogPosition;
use tokio::time::{timeout, timeout_at};
use wire::backend;
use wire::frontend;
use wire::group::{GroupCommand, NOT_PRIMARY};

use super::batch::ReplyStep;
use super::request::{CallerRequest, RequestBody};

/// Bytes of an answer that are collected before they go to the caller.
const RELAY_BYTES: usize = 32 * 1024;
/// Bytes of an unconfirmed answer that are held back at most.
const HOLD_BYTES: usize = 4 * 1024 * 1024;
/// Rows above this size pass through in pieces.
const WHOLE_ROW_BYTES: usize = 256 * 1024;
/// Time without a byte after which an answer under way counts as lost.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);

/// What surrounds a request on its way.
#[derive(Clone, Debug, Default)]
pub(super) struct ExchangePlan {
    /// Asks the primary to prove itself before the request runs.
    pub(super) barrier: bool,
    /// Label by which the outcome can be asked for later.
    pub(super) label: Option<String>,
    /// Waits until a majority holds what the request committed.
    pub(super) confirm: bool,
    /// Position that the answering member must cover.
    pub(super) floor: Option<LogPosition>,
    /// Tells that the request runs on a replica.
    pub(super) on_replica: bool,
    /// Tells that the request runs inside a transaction.
    pub(super) in_transaction: bool,
}

impl ExchangePlan {
    /// Tells whether the answer stands by itself, without a proof by the primary.
    pub(super) fn is_plain_read(&self) -> bool {
        !self.confirm && !self.barrier && !self.in_transaction
    }
}

/// How an exchange ended.
#[derive(Debug)]
pub(super) enum ExchangeEnd {
    /// The answer is complete and stands in the caller's output.
    Complete,
    /// The member proved that it did not run the request.
    NotRun,
    /// The member's data does not cover what the session has seen.
    Stale,
    /// The connection is of no more use.
    Lost(MemberError),
    /// The caller is gone.
    CallerGone,
}

/// Answer on its way to the caller.
pub(super) struct CallerOutput<'a> {
    /// Connection of the caller.
    pub(super) socket: &'a mut FramedSocket,
    /// Bytes not yet sent.
    pub(super) buffer: &'a mut BytesMut,
    /// Length of the buffer before the exchange.
    pub(super) mark: usize,
    /// Tells that part of the answer has been sent; read while the exchange runs.
    pub(super) sent: &'a AtomicBool,
    /// Tells that the whole answer came, though perhaps not its confirmation.
    pub(super) answered: bool,
}

impl CallerOutput<'_> {
    /// Tells whether the caller has seen part of the answer.
    pub(super) fn is_sent(&self) -> bool {
        self.sent.load(Ordering::Relaxed)
    }

    /// Drops what the exchange wrote, unless the caller has already seen part of it.
    pub(super) fn rewind(&mut self) {
        if !self.is_sent() {
            self.buffer.truncate(self.mark);
        }
    }

    async fn send_above(&mut self, limit: usize) -> Result<(), SocketError> {
        if self.buffer.len() < limit {
            return Ok(());
        }
        self.sent.store(true, Ordering::Relaxed);
        self.socket.write(self.buffer).await?;
        self.buffer.clear();
        Ok(())
    }
}

/// Error inside a relay.
enum RelayError {
    Member(MemberError),
    Caller,
    NotRun,
    Stale,
}

impl From<MemberError> for RelayError {
    fn from(error: MemberError) -> Self {
        Self::Member(error)
    }
}

impl From<SocketError> for RelayError {
    fn from(_: SocketError) -> Self {
        Self::Caller
    }
}

/// Sends a request with what surrounds it and relays the answer.
pub(super) async fn run(
    connection: &mut MemberConnection,
    request: &CallerRequest,
    plan: &ExchangePlan,
    output: &mut CallerOutput<'_>,
    deadline: Instant,
) -> ExchangeEnd {
    let mut exchange = Exchange { connection, plan, output, deadline };
    match exchange.run(request).await {
        Ok(()) => ExchangeEnd::Complete,
        Err(RelayError::NotRun) => ExchangeEnd::NotRun,
        Err(RelayError::Stale) => ExchangeEnd::Stale,
        Err(RelayError::Caller) => ExchangeEnd::CallerGone,
        Err(RelayError::Member(error)) => ExchangeEnd::Lost(error),
    }
}

struct Exchange<'a, 'b> {
    connection: &'a mut MemberConnection,
    plan: &'a ExchangePlan,
    output: &'a mut CallerOutput<'b>,
    deadline: Instant,
}

impl Exchange<'_, '_> {
    async fn run(&mut self, request: &CallerRequest) -> Result<(), RelayError> {
        let mut bytes = BytesMut::new();
        if self.plan.barrier {
            frontend::put_query(&mut bytes, &GroupCommand::Confirm.to_string());
        }
        if let Some(label) = &self.plan.label {
            frontend::put_query(&mut bytes, &GroupCommand::Label(label.clone()).to_string());
        }
        let mut steps = match &request.body {
            RequestBody::Simple(frame) => {
                bytes.extend_from_slice(&frame.bytes);
                VecDeque::new()
            }
            RequestBody::Batch(batch) => {
                let steps = batch.encode(&self.connection.prepared_statements, &mut bytes);
                let end = if request.synced { frontend::SYNC } else { frontend::FLUSH };
                frontend::put_empty(&mut bytes, end);
                steps
            }
        };
        if self.plan.confirm {
            frontend::put_query(&mut bytes, &GroupCommand::Confirm.to_string());
        }
        self.connection.send(&bytes).await?;
        if self.plan.barrier {
            self.command_answer().await?;
        }
        if self.plan.label.is_some() {
            self.command_answer().await?;
        }
        self.relay(&mut steps, request.synced).await?;
        self.output.answered = true;
        if self.plan.confirm {
            self.command_answer().await?;
        }
        Ok(())
    }

    /// Reads the answer to a surrounding command; a refusal says that the primary was replaced.
    async fn command_answer(&mut self) -> Result<(), RelayError> {
        let answer =
            timeout_at(self.deadline.into(), self.connection.read_command_response()).await;
        match answer {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) if error.is_not_primary() && !self.output.answered => {
                Err(RelayError::NotRun)
            }
            Ok(Err(error)) => Err(error.into()),
            Err(_) => Err(MemberError::Timeout { limit: PROGRESS_TIMEOUT }.into()),
        }
    }

    /// Relays replies up to the ready-for-query message, or up to the last step after a flush.
    async fn relay(
        &mut self,
        steps: &mut VecDeque<ReplyStep>,
        synced: bool,
    ) -> Result<(), RelayError> {
        let mut first = true;
        loop {
            self.give_replies(steps);
            if !synced && steps.is_empty() {
                return Ok(());
            }
            self.relay_large_row().await?;
            let Some(frame) = self.connection.take_frame()? else {
                self.fill(first).await?;
                continue;
            };
            match frame.tag {
                backend::PARAMETER_STATUS | backend::NOTIFICATION_RESPONSE => continue,
                backend::READY_FOR_QUERY => {
                    self.give_all(steps);
                    return Ok(());
                }
                backend::ERROR_RESPONSE
                    if first
                        && !self.plan.in_transaction
                        && backend::read_error_field(frame.body(), b'C') == Some(NOT_PRIMARY) =>
                {
                    return Err(RelayError::NotRun);
                }
                _ => {}
            }
            if first {
                self.check_floor()?;
                first = false;
            }
            if self.note_step(frame.tag, steps) {
                self.output.buffer.extend_from_slice(&frame.bytes);
                let limit = if self.plan.confirm { HOLD_BYTES } else { RELAY_BYTES };
                self.output.send_above(limit).await?;
            }
            if frame.tag == backend::ERROR_RESPONSE && !synced {
                return Ok(());
            }
        }
    }

    async fn fill(&mut self, first: bool) -> Result<(), RelayError> {
        let filled = if first {
            timeout_at(self.deadline.into(), self.connection.fill()).await
        } else {
            timeout(PROGRESS_TIMEOUT, self.connection.fill()).await
        };
        match filled {
            Ok(filled) => Ok(filled?),
            Err(_) => Err(MemberError::Timeout { limit: PROGRESS_TIMEOUT }.into()),
        }
    }

    fn check_floor(&self) -> Result<(), RelayError> {
        let Some(floor) = self.plan.floor else {
            return Ok(());
        };
        match self.connection.position() {
            Some(position) if position.has_applied(floor) => Ok(()),
            _ => Err(RelayError::Stale),
        }
    }

    /// Passes a row through in pieces if it is too large to be collected.
    async fn relay_large_row(&mut self) -> Result<(), RelayError> {
        let Some(header) = self.connection.peek_header()? else {
            return Ok(());
        };
        if header.tag != backend::DATA_ROW
            || header.total_bytes < WHOLE_ROW_BYTES
            || self.plan.confirm
        {
            return Ok(());
        }
        self.check_floor()?;
        let mut missing = header.total_bytes;
        while missing > 0 {
            let input = self.connection.input();
            let piece = input.split_to(missing.min(input.len()));
            missing -= piece.len();
            self.output.buffer.extend_from_slice(&piece);
            self.output.send_above(RELAY_BYTES).await?;
            if missing > 0 {
                self.fill(false).await?;
            }
        }
        Ok(())
    }

    /// Takes note of a reply and tells whether the caller gets it.
    fn note_step(&mut self, tag: u8, steps: &mut VecDeque<ReplyStep>) -> bool {
        let ends_step = matches!(
            tag,
            backend::PARSE_COMPLETE
                | backend::BIND_COMPLETE
                | backend::CLOSE_COMPLETE
                | backend::ROW_DESCRIPTION
                | backend::NO_DATA
                | backend::COMMAND_COMPLETE
                | backend::EMPTY_QUERY_RESPONSE
                | backend::PORTAL_SUSPENDED
        );
        if tag == backend::ERROR_RESPONSE {
            steps.clear();
            return true;
        }
        if !ends_step {
            return true;
        }
        match steps.pop_front() {
            Some(ReplyStep::Parsed { id, hidden }) => {
                self.connection.prepared_statements.extend(id);
                !hidden
            }
            _ => true,
        }
    }

    fn give_replies(&mut self, steps: &mut VecDeque<ReplyStep>) {
        while let Some(ReplyStep::Given(tag)) = steps.front() {
            // These replies have no body.
            self.output.buffer.extend_from_slice(&[*tag, 0, 0, 0, 4]);
            steps.pop_front();
        }
    }

    fn give_all(&mut self, steps: &mut VecDeque<ReplyStep>) {
        self.give_replies(steps);
        steps.clear();
    }
}
