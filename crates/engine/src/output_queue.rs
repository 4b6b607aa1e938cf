//! Messages that wait to be written to a connection between instances.

use std::cell::{Cell, RefCell};

use bytes::BytesMut;
use metrics::counter;
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;

use crate::frame::{FrameEncoder, FrameLane, frames_length};
use crate::message::PeerMessage;

/// Queued bytes above which a connection counts as stuck and is closed.
const MAX_OUTPUT_BYTES: usize = 8 << 20;
/// Bytes of ordered messages that are written before a part of the bulk lane gets its turn.
const ORDERED_BATCH_BYTES: usize = 16 << 10;

/// Output of a connection, in lanes.
#[derive(Debug, Default)]
pub(crate) struct OutputQueue {
    lanes: RefCell<[BytesMut; FrameLane::COUNT]>,
    encoder: RefCell<FrameEncoder>,
    data_ready: Notify,
    /// A batch was taken from the queue and is not written yet.
    is_writing: Cell<bool>,
    /// Notified when a batch was written and when the connection is closed.
    written: Notify,
    closed: Cell<bool>,
}

impl OutputQueue {
    /// Appends a message. Closes the connection if too many bytes are queued.
    pub(crate) fn push<M: PeerMessage>(&self, message: &M) {
        if self.closed.get() {
            return;
        }
        let lane = message.lane();
        let mut lanes = self.lanes.borrow_mut();
        let output = &mut lanes[lane as usize];
        let queued_bytes = output.len();
        if let Err(error) = self.encoder.borrow_mut().encode(message, lane, output) {
            log_event!(LogEvent::PeerLost, "cause=\"message not sent: {error}\"");
            return;
        }
        let encoded_bytes = (output.len() - queued_bytes) as u64;
        counter!(meter::PEER_BYTES, "kind" => message.label()).increment(encoded_bytes);
        drop(lanes);
        self.finish_push();
    }

    /// Appends an encoded message of the ordered lane; `label` is its kind.
    pub(crate) fn push_encoded(&self, message: &[u8], label: &'static str) {
        if !self.closed.get() {
            counter!(meter::PEER_BYTES, "kind" => label).increment(message.len() as u64);
            self.lanes.borrow_mut()[FrameLane::Ordered as usize].extend_from_slice(message);
            self.finish_push();
        }
    }

    fn finish_push(&self) {
        if self.queued_bytes() > MAX_OUTPUT_BYTES {
            self.closed.set(true);
        }
        self.data_ready.notify_one();
    }

    /// Returns the number of bytes that were not given to the operating system yet.
    pub(crate) fn queued_bytes(&self) -> usize {
        self.lanes.borrow().iter().map(BytesMut::len).sum()
    }

    /// Waits until all queued messages were given to the operating system, or the connection is
    /// closed.
    pub(crate) async fn wait_until_written(&self) {
        loop {
            let written = self.written.notified();
            if self.closed.get() || (self.queued_bytes() == 0 && !self.is_writing.get()) {
                return;
            }
            written.await;
        }
    }

    /// Returns whether the connection is closed or about to be.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Closes the connection without writing what is queued.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        self.data_ready.notify_one();
        self.written.notify_waiters();
    }

    /// Removes the frames to write next: all urgent ones, some ordered ones and one bulk part.
    fn take_batch(&self) -> BytesMut {
        let mut lanes = self.lanes.borrow_mut();
        let [urgent, ordered, bulk] = &mut *lanes;
        let ordered_length = frames_length(ordered, ORDERED_BATCH_BYTES);
        let bulk_length = frames_length(bulk, 1);
        let mut batch = std::mem::take(urgent);
        for (lane, length) in [(ordered, ordered_length), (bulk, bulk_length)] {
            // An emptied buffer is given away, so that idle connections hold no memory.
            let frames =
                if length == lane.len() { std::mem::take(lane) } else { lane.split_to(length) };
            if batch.is_empty() {
                batch = frames;
            } else {
                batch.extend_from_slice(&frames);
            }
        }
        batch
    }

    /// Writes queued messages to `stream` until the queue is closed or a write fails.
    pub(crate) async fn drain(&self, mut stream: OwnedWriteHalf) {
        loop {
            if self.closed.get() {
                return;
            }
            let batch = self.take_batch();
            if batch.is_empty() {
                self.data_ready.notified().await;
                continue;
            }
            self.is_writing.set(true);
            let result = stream.write_all(&batch).await;
            self.is_writing.set(false);
            if result.is_err() {
                self.close();
                return;
            }
            self.written.notify_waiters();
        }
    }
}
