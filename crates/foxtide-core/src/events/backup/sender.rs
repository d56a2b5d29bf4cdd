//! Sends an instance's events to the peers that store them.

use crate::events::{
    EventCopies,
    EventMessage,
    RingEntry, //
};
use crate::ids::InstanceId;
use crate::time::MonotonicTime;
use prost::Message;
use std::time::Duration;

/// The assumed overhead of a message: the origin's name, the sequence number, the
/// frame and the packet headers.
pub const BATCH_OVERHEAD_BYTES: u64 = 128;

const BATCH_EVENTS_MAX: usize = 64;

/// Options of [`BackupSender`].
#[derive(Clone, Copy, Debug)]
pub struct SenderOptions {
    /// The average bandwidth limit to all peers together; 256 bytes/s by default.
    pub budget_bytes_per_s: u64,
    /// The burst limit; 16 KiB by default.
    pub burst_bytes: u64,
    /// The time after which unacknowledged events are resent; 5 s by default.
    pub acknowledge_timeout: Duration,
}

impl Default for SenderOptions {
    fn default() -> Self {
        Self {
            budget_bytes_per_s: 256,
            burst_bytes: 16_384,
            acknowledge_timeout: Duration::from_secs(5),
        }
    }
}

/// A batch of events for one peer.
#[derive(Clone, Debug, PartialEq)]
pub struct BackupBatch {
    /// The peer.
    pub to: InstanceId,
    /// The events to store.
    pub copies: EventCopies,
}

/// The replication state of one peer.
#[derive(Clone, Debug)]
struct Cursor {
    peer: InstanceId,
    acknowledged: u64,
    sent: u64,
    sent_at: MonotonicTime,
}

impl Cursor {
    fn new(peer: InstanceId) -> Self {
        Self {
            peer,
            acknowledged: 0,
            sent: 0,
            sent_at: MonotonicTime::ZERO,
        }
    }

    /// Resumes after the last acknowledged event if an acknowledgement is overdue.
    fn rewind_if_overdue(&mut self, now: MonotonicTime, timeout: Duration) {
        let is_unacknowledged = self.sent > self.acknowledged;
        if is_unacknowledged && now.since(self.sent_at) >= timeout {
            self.sent = self.acknowledged;
        }
    }
}

/// Sends an instance's events to its peers within a bandwidth limit (token bucket).
#[derive(Clone, Debug)]
pub struct BackupSender {
    origin: InstanceId,
    options: SenderOptions,
    cursors: Vec<Cursor>,
    tokens_bytes: f64,
    refilled_at: MonotonicTime,
    lost: u64,
}

impl BackupSender {
    /// Creates a sender without peers and with a full token bucket.
    pub fn new(origin: InstanceId, options: SenderOptions, now: MonotonicTime) -> Self {
        Self {
            origin,
            options,
            cursors: Vec::new(),
            tokens_bytes: options.burst_bytes as f64,
            refilled_at: now,
            lost: 0,
        }
    }

    /// Replaces the peers. Existing peers keep their state; new ones are sent all
    /// events that are still in the ring.
    pub fn set_peers(&mut self, peers: Vec<InstanceId>) {
        let known = std::mem::take(&mut self.cursors);
        let cursor = |peer: InstanceId| {
            let found = known.iter().find(|cursor| cursor.peer == peer);
            found.cloned().unwrap_or_else(|| Cursor::new(peer))
        };
        self.cursors = peers.into_iter().map(cursor).collect();
    }

    /// Returns the batches that are due. `events_after` returns the oldest events
    /// after a sequence number, up to a limit.
    pub fn poll(
        &mut self,
        now: MonotonicTime,
        events_after: impl Fn(u64, usize) -> Vec<RingEntry>,
    ) -> Vec<BackupBatch> {
        self.refill(now);
        let mut batches = Vec::new();
        for index in 0..self.cursors.len() {
            let timeout = self.options.acknowledge_timeout;
            self.cursors[index].rewind_if_overdue(now, timeout);
            let entries = events_after(self.cursors[index].sent, BATCH_EVENTS_MAX);
            self.count_lost(index, &entries);
            let remaining_peers = self.cursors.len() - index;
            if let Some(copies) = self.pack(entries, self.tokens_bytes / remaining_peers as f64) {
                let cursor = &mut self.cursors[index];
                cursor.sent = copies.through;
                cursor.sent_at = now;
                let to = cursor.peer.clone();
                batches.push(BackupBatch { to, copies });
            }
        }
        batches
    }

    /// Records that a peer has stored all events up to a sequence number.
    pub fn acknowledge(&mut self, peer: &InstanceId, through: u64) {
        let cursors = self.cursors.iter_mut();
        for cursor in cursors.filter(|cursor| cursor.peer == *peer) {
            let sent_through = through.min(cursor.sent);
            cursor.acknowledged = cursor.acknowledged.max(sent_through);
        }
    }

    /// Returns the number of events overwritten before they were sent, per peer.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    fn refill(&mut self, now: MonotonicTime) {
        let elapsed_s = now.since(self.refilled_at).as_secs_f64();
        let refill_bytes = elapsed_s * self.options.budget_bytes_per_s as f64;
        let capacity_bytes = self.options.burst_bytes as f64;
        self.tokens_bytes = (self.tokens_bytes + refill_bytes).min(capacity_bytes);
        self.refilled_at = now;
    }

    fn count_lost(&mut self, index: usize, entries: &[RingEntry]) {
        let cursor = &mut self.cursors[index];
        let Some(first) = entries.first() else {
            return;
        };
        let missing = first.sequence - cursor.sent - 1;
        // Events overwritten before the peer was selected do not count as lost.
        if cursor.sent > 0 {
            self.lost += missing;
        }
        cursor.sent += missing;
    }

    /// Packs the events that fit an allowance, and takes their size from the bucket.
    fn pack(&mut self, entries: Vec<RingEntry>, allowance_bytes: f64) -> Option<EventCopies> {
        let mut cost_bytes = BATCH_OVERHEAD_BYTES as f64;
        let mut copies = EventCopies {
            origin: self.origin.to_string(),
            ..EventCopies::default()
        };
        for entry in entries {
            let message = EventMessage::from(&entry.event);
            cost_bytes += message.encoded_len() as f64;
            if cost_bytes > allowance_bytes {
                break;
            }
            copies.through = entry.sequence;
            copies.events.push(message);
        }
        if copies.events.is_empty() {
            return None;
        }
        let sent_bytes = copies.encoded_len() as f64 + BATCH_OVERHEAD_BYTES as f64;
        self.tokens_bytes -= sent_bytes.min(self.tokens_bytes);
        Some(copies)
    }
}
