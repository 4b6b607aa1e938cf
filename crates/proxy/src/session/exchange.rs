//! Exchange with a member: sends a request and relays the response to the caller.

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

/// Bytes of a response that are buffered before they are sent to the caller.
const RELAY_THRESHOLD_BYTES: usize = 32 * 1024;
/// Bytes of a response that are buffered until its commit is confirmed; a longer one is sent early.
const MAX_UNCONFIRMED_BYTES: usize = 4 * 1024 * 1024;
/// Size from which a row is streamed in chunks instead of buffered whole, in bytes.
const MIN_STREAMED_ROW_BYTES: usize = 256 * 1024;
/// Bounds the wait for the next bytes of a response that has started.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);

/// Group commands sent with a request, and conditions on its response.
#[derive(Clone, Debug, Default)]
pub(super) struct ExchangePlan {
    /// Asks the primary to confirm its leadership before the request runs.
    pub(super) confirm_leadership: bool,
    /// Label by which the outcome of the transaction can be queried later.
    pub(super) label: Option<String>,
    /// Waits until a majority has replicated what the request committed.
    pub(super) confirm_commit: bool,
    /// Position that the member must have applied.
    pub(super) required_position: Option<LogPosition>,
    /// The request may commit more than once.
    pub(super) commits_repeatedly: bool,
    /// The request runs on a replica.
    pub(super) on_replica: bool,
    /// The request runs inside a transaction.
    pub(super) in_transaction: bool,
}

impl ExchangePlan {
    /// Returns whether the request is a single read that needs no confirmation by the primary.
    pub(super) fn is_unconfirmed_read(&self) -> bool {
        !self.confirm_commit && !self.confirm_leadership && !self.in_transaction
    }
}

/// Outcome of an exchange.
#[derive(Debug)]
pub(super) enum ExchangeOutcome {
    /// The response is complete; what was not sent yet is in the caller's output.
    Complete,
    /// The member is not the primary and did not run the request.
    NotPrimary,
    /// The member has not applied the required position.
    Stale,
    /// The connection failed or is in an unknown state; the request may have run.
    ConnectionLost(MemberError),
    /// The caller's connection failed.
    CallerDisconnected,
}

/// Output of an exchange to the caller.
pub(super) struct CallerOutput<'a> {
    /// Connection of the caller.
    pub(super) socket: &'a mut FramedSocket,
    /// Bytes not sent yet.
    pub(super) buffer: &'a mut BytesMut,
    /// Length of the buffer before the exchange.
    pub(super) initial_len: usize,
    /// Part of the response has been sent; read by others while the exchange runs.
    pub(super) partly_sent: &'a AtomicBool,
    /// The whole response was received, though perhaps not the confirmation of its commit.
    pub(super) response_complete: bool,
}

impl CallerOutput<'_> {
    /// Returns whether part of the response has been sent to the caller.
    pub(super) fn is_partly_sent(&self) -> bool {
        self.partly_sent.load(Ordering::Relaxed)
    }

    /// Discards what the exchange buffered, unless part of it has been sent to the caller.
    pub(super) fn discard_unsent(&mut self) {
        if !self.is_partly_sent() {
            self.buffer.truncate(self.initial_len);
        }
    }

    /// Sends the buffer to the caller once it has reached `threshold` bytes.
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

/// Error that ends an exchange early.
enum RelayError {
    Member(MemberError),
    CallerDisconnected,
    NotPrimary,
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

/// Sends a request with its group commands and relays the response to the caller.
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
        Err(RelayError::NotPrimary) => ExchangeOutcome::NotPrimary,
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
        if request.class.changes_session {
            self.connection.expect_session_state();
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

    /// Reads the response to a group command; an error can mean that the primary was replaced.
    async fn read_command_response(&mut self) -> Result<(), RelayError> {
        let response =
            timeout_at(self.deadline.into(), self.connection.read_command_response()).await;
        match response {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) if error.is_not_primary() && !self.output.response_complete => {
                Err(RelayError::NotPrimary)
            }
            Ok(Err(error)) => Err(error.into()),
            Err(_) => Err(MemberError::DeadlinePassed.into()),
        }
    }

    /// Relays messages up to ready-for-query, or after a flush up to the last expected response.
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
                    if (is_first
                        || !self.plan.commits_repeatedly && !self.output.is_partly_sent())
                        && !self.plan.in_transaction
                        && backend::read_error_field(frame.body(), b'C') == Some(NOT_PRIMARY) =>
                {
                    return Err(RelayError::NotPrimary);
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
            Err(_) if is_first => Err(MemberError::DeadlinePassed.into()),
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

    /// Streams the next message in chunks if it is a row that is too large to buffer.
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

    /// Matches a message with the expected responses and returns whether to relay it.
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
            // Synthesized responses have no body, so their length is that of the length field.
            self.output.buffer.extend_from_slice(&[*tag, 0, 0, 0, 4]);
            expected.pop_front();
        }
    }

    fn put_remaining_synthesized(&mut self, expected: &mut VecDeque<ExpectedResponse>) {
        self.put_synthesized(expected);
        expected.clear();
    }
}
