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

use super::batch::ExpectedResponse;
use super::request::{CallerRequest, RequestBody};

/// Bytes of an answer that are collected before they go to the caller.
const RELAY_THRESHOLD_BYTES: usize = 32 * 1024;
/// Bytes of an unconfirmed answer that are held back at most.
const MAX_UNCONFIRMED_BYTES: usize = 4 * 1024 * 1024;
/// Rows above this size pass through in pieces.
const MIN_STREAMED_ROW_BYTES: usize = 256 * 1024;
/// Time without a byte after which an answer under way counts as lost.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);

/// What surrounds a request on its way.
#[derive(Clone, Debug, Default)]
pub(super) struct ExchangePlan {
    /// Asks the primary to prove itself before the request runs.
    pub(super) confirm_leadership: bool,
    /// Label by which the outcome can be asked for later.
    pub(super) label: Option<String>,
    /// Waits until a majority holds what the request committed.
    pub(super) confirm_commit: bool,
    /// Position that the answering member must cover.
    pub(super) required_position: Option<LogPosition>,
    /// Tells that the request runs on a replica.
    pub(super) on_replica: bool,
    /// Tells that the request runs inside a transaction.
    pub(super) in_transaction: bool,
}

impl ExchangePlan {
    /// Tells whether the answer stands by itself, without a proof by the primary.
    pub(super) fn is_unconfirmed_read(&self) -> bool {
        !self.confirm_commit && !self.confirm_leadership && !self.in_transaction
    }
}

/// How an exchange ended.
#[derive(Debug)]
pub(super) enum ExchangeOutcome {
    /// The answer is complete and stands in the caller's output.
    Complete,
    /// The member proved that it did not run the request.
    NotExecuted,
    /// The member's data does not cover what the session has seen.
    Stale,
    /// The connection is of no more use.
    ConnectionLost(MemberError),
    /// The caller is gone.
    CallerDisconnected,
}

/// Answer on its way to the caller.
pub(super) struct CallerOutput<'a> {
    /// Connection of the caller.
    pub(super) socket: &'a mut FramedSocket,
    /// Bytes not yet sent.
    pub(super) buffer: &'a mut BytesMut,
    /// Length of the buffer before the exchange.
    pub(super) initial_len: usize,
    /// Tells that part of the answer has been sent; read while the exchange runs.
    pub(super) partly_sent: &'a AtomicBool,
    /// Tells that the whole answer came, though perhaps not its confirmation.
    pub(super) response_complete: bool,
}

impl CallerOutput<'_> {
    /// Tells whether the caller has seen part of the answer.
    pub(super) fn is_partly_sent(&self) -> bool {
        self.partly_sent.load(Ordering::Relaxed)
    }

    /// Drops what the exchange wrote, unless the caller has already seen part of it.
    pub(super) fn discard_unsent(&mut self) {
        if !self.is_partly_sent() {
            self.buffer.truncate(self.initial_len);
        }
    }

    async fn flush_at(&mut self, threshold: usize) -> Result<(), SocketError> {
        if self.buffer.len() < threshold {
            return Ok(());
        }
        self.partly_sent.store(true, Ordering::Relaxed);
        self.socket.write(self.buffer).await?;
        self.buffer.clear();
        Ok(())
    }
}

/// Error inside a relay.
enum RelayError {
    Member(MemberError),
    CallerDisconnected,
    NotExecuted,
    Stale,
}

impl From<MemberError> for RelayError {
    fn from(error: MemberError) -> Self {
        Self::Member(error)
    }
}

impl From<SocketError> for RelayError {
    fn from(_: SocketError) -> Self {
        Self::CallerDisconnected
    }
}

/// Sends a request with what surrounds it and relays the answer.
pub(super) async fn run(
    connection: &mut MemberConnection,
    request: &CallerRequest,
    plan: &ExchangePlan,
    output: &mut CallerOutput<'_>,
    deadline: Instant,
) -> ExchangeOutcome {
    let mut exchange = Exchange { connection, plan, output, deadline };
    match exchange.run(request).await {
        Ok(()) => ExchangeOutcome::Complete,
        Err(RelayError::NotExecuted) => ExchangeOutcome::NotExecuted,
        Err(RelayError::Stale) => ExchangeOutcome::Stale,
        Err(RelayError::CallerDisconnected) => ExchangeOutcome::CallerDisconnected,
        Err(RelayError::Member(error)) => ExchangeOutcome::ConnectionLost(error),
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
        if self.plan.confirm_leadership {
            frontend::put_query(&mut bytes, &GroupCommand::Confirm.to_string());
        }
        if let Some(label) = &self.plan.label {
            frontend::put_query(&mut bytes, &GroupCommand::Label(label.clone()).to_string());
        }
        let mut expected = match &request.body {
            RequestBody::Simple(frame) => {
                bytes.extend_from_slice(&frame.bytes);
                VecDeque::new()
            }
            RequestBody::Batch(batch) => {
                let expected = batch.encode(&self.connection.prepared_statements, &mut bytes);
                let end_tag = if request.ends_with_sync { frontend::SYNC } else { frontend::FLUSH };
                frontend::put_empty(&mut bytes, end_tag);
                expected
            }
        };
        if self.plan.confirm_commit {
            frontend::put_query(&mut bytes, &GroupCommand::Confirm.to_string());
        }
        self.connection.send(&bytes).await?;
        if self.plan.confirm_leadership {
            self.read_command_response().await?;
        }
        if self.plan.label.is_some() {
            self.read_command_response().await?;
        }
        self.relay_responses(&mut expected, request.ends_with_sync).await?;
        self.output.response_complete = true;
        if self.plan.confirm_commit {
            self.read_command_response().await?;
        }
        Ok(())
    }

    /// Reads the answer to a surrounding command; a refusal says that the primary was replaced.
    async fn read_command_response(&mut self) -> Result<(), RelayError> {
        let response =
            timeout_at(self.deadline.into(), self.connection.read_command_response()).await;
        match response {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) if error.is_not_primary() && !self.output.response_complete => {
                Err(RelayError::NotExecuted)
            }
            Ok(Err(error)) => Err(error.into()),
            Err(_) => Err(MemberError::Timeout { limit: PROGRESS_TIMEOUT }.into()),
        }
    }

    /// Relays replies up to the ready-for-query message, or up to the last step after a flush.
    async fn relay_responses(
        &mut self,
        expected: &mut VecDeque<ExpectedResponse>,
        ends_with_sync: bool,
    ) -> Result<(), RelayError> {
        let mut is_first = true;
        loop {
            self.put_synthesized(expected);
            if !ends_with_sync && expected.is_empty() {
                return Ok(());
            }
            self.stream_large_row().await?;
            let Some(frame) = self.connection.take_frame()? else {
                self.fill_input(is_first).await?;
                continue;
            };
            match frame.tag {
                backend::PARAMETER_STATUS | backend::NOTIFICATION_RESPONSE => continue,
                backend::READY_FOR_QUERY => {
                    self.put_remaining_synthesized(expected);
                    return Ok(());
                }
                backend::ERROR_RESPONSE
                    if is_first
                        && !self.plan.in_transaction
                        && backend::read_error_field(frame.body(), b'C') == Some(NOT_PRIMARY) =>
                {
                    return Err(RelayError::NotExecuted);
                }
                _ => {}
            }
            if is_first {
                self.check_position()?;
                is_first = false;
            }
            if self.track_response(frame.tag, expected) {
                self.output.buffer.extend_from_slice(&frame.bytes);
                let threshold = if self.plan.confirm_commit {
                    MAX_UNCONFIRMED_BYTES
                } else {
                    RELAY_THRESHOLD_BYTES
                };
                self.output.flush_at(threshold).await?;
            }
            if frame.tag == backend::ERROR_RESPONSE && !ends_with_sync {
                return Ok(());
            }
        }
    }

    async fn fill_input(&mut self, is_first: bool) -> Result<(), RelayError> {
        let filled = if is_first {
            timeout_at(self.deadline.into(), self.connection.fill()).await
        } else {
            timeout(PROGRESS_TIMEOUT, self.connection.fill()).await
        };
        match filled {
            Ok(filled) => Ok(filled?),
            Err(_) => Err(MemberError::Timeout { limit: PROGRESS_TIMEOUT }.into()),
        }
    }

    fn check_position(&self) -> Result<(), RelayError> {
        let Some(required_position) = self.plan.required_position else {
            return Ok(());
        };
        match self.connection.position() {
            Some(position) if position.has_applied(required_position) => Ok(()),
            _ => Err(RelayError::Stale),
        }
    }

    /// Passes a row through in pieces if it is too large to be collected.
    async fn stream_large_row(&mut self) -> Result<(), RelayError> {
        let Some(header) = self.connection.peek_header()? else {
            return Ok(());
        };
        if header.tag != backend::DATA_ROW
            || header.total_bytes < MIN_STREAMED_ROW_BYTES
            || self.plan.confirm_commit
        {
            return Ok(());
        }
        self.check_position()?;
        let mut remaining = header.total_bytes;
        while remaining > 0 {
            let input = self.connection.input();
            let chunk = input.split_to(remaining.min(input.len()));
            remaining -= chunk.len();
            self.output.buffer.extend_from_slice(&chunk);
            self.output.flush_at(RELAY_THRESHOLD_BYTES).await?;
            if remaining > 0 {
                self.fill_input(false).await?;
            }
        }
        Ok(())
    }

    /// Takes note of a reply and tells whether the caller gets it.
    fn track_response(&mut self, tag: u8, expected: &mut VecDeque<ExpectedResponse>) -> bool {
        let completes_response = matches!(
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
            expected.clear();
            return true;
        }
        if !completes_response {
            return true;
        }
        match expected.pop_front() {
            Some(ExpectedResponse::ParseComplete { id, suppressed }) => {
                self.connection.prepared_statements.extend(id);
                !suppressed
            }
            _ => true,
        }
    }

    fn put_synthesized(&mut self, expected: &mut VecDeque<ExpectedResponse>) {
        while let Some(ExpectedResponse::Synthesized(tag)) = expected.front() {
            // These replies have no body.
            self.output.buffer.extend_from_slice(&[*tag, 0, 0, 0, 4]);
            expected.pop_front();
        }
    }

    fn put_remaining_synthesized(&mut self, expected: &mut VecDeque<ExpectedResponse>) {
        self.put_synthesized(expected);
        expected.clear();
    }
}
