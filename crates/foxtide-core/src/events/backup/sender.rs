//! Sends an instance's events to the peers that keep them.

use crate::events::{
    EventCopies,
    EventMessage,
    RingEntry, //
};
use crate::ids::InstanceId;
use crate::time::MonotonicTime;
use prost::Message;
use std::time::Duration;

/// What a message costs besides its events: the origin's name, the sequence,
/// the frame and the packet around it, in bytes.
pub const BATCH_OVERHEAD_BYTES: u64 = 128;

const BATCH_EVENTS: usize = 64;

/// How events are sent to peers.
#[derive(Clone, Copy, Debug)]
pub struct SenderOptions {
    /// The most that is sent to all peers together in the long run, in bytes a
    /// second; 256 by default.
    pub budget_bytes_per_s: u64,
    /// The most that is sent at once after a quiet time, in bytes; 16 KiB by
    /// default.
    pub burst_bytes: u64,
    /// How long an acknowledgement may take before the events are sent again;
    /// 5 s by default.
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

/// A message to one peer.
#[derive(Clone, Debug, PartialEq)]
pub struct BackupBatch {
    /// The peer.
    pub to: InstanceId,
    /// What it is to keep.
    pub copies: EventCopies,
}

/// How far one peer has the events.
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

    /// Starts again after the last acknowledged event where the answer to what
    /// was sent is overdue.
    fn rewind_if_overdue(&mut self, now: MonotonicTime, timeout: Duration) {
        let waits = self.sent > self.acknowledged;
        if waits && now.since(self.sent_at) >= timeout {
            self.sent = self.acknowledged;
        }
    }
}

/// Sends an instance's events to its peers within a budget (token bucket).
#[derive(Clone, Debug)]
pub struct BackupSender {
    own: InstanceId,
    options: SenderOptions,
    cursors: Vec<Cursor>,
    tokens_bytes: f64,
    refilled_at: MonotonicTime,
    lost: u64,
}

impl BackupSender {
    /// Returns a sender without peers, its whole burst at hand.
    pub fn new(own: InstanceId, options: SenderOptions, now: MonotonicTime) -> Self {
        Self {
            own,
            options,
            cursors: Vec::new(),
            tokens_bytes: options.burst_bytes as f64,
            refilled_at: now,
            lost: 0,
        }
    }

    /// Replaces the peers. One that stays goes on where it is; a new one gets
    /// all events that are still kept.
    pub fn set_peers(&mut self, peers: Vec<InstanceId>) {
        let known = std::mem::take(&mut self.cursors);
        let cursor = |peer: InstanceId| {
            let found = known.iter().find(|cursor| cursor.peer == peer);
            found.cloned().unwrap_or_else(|| Cursor::new(peer))
        };
        self.cursors = peers.into_iter().map(cursor).collect();
    }

    /// Returns the messages that are due now. `events_after` returns the
    /// oldest kept events after a sequence, at most as many as asked for.
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
            let entries = events_after(self.cursors[index].sent, BATCH_EVENTS);
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

    /// Notes that a peer has kept all events up to a sequence.
    pub fn acknowledge(&mut self, peer: &InstanceId, through: u64) {
        let cursors = self.cursors.iter_mut();
        for cursor in cursors.filter(|cursor| cursor.peer == *peer) {
            let sent_through = through.min(cursor.sent);
            cursor.acknowledged = cursor.acknowledged.max(sent_through);
        }
    }

    /// Returns how many events were overwritten before they could be sent,
    /// counted once for each peer.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    fn refill(&mut self, now: MonotonicTime) {
        let passed_s = now.since(self.refilled_at).as_secs_f64();
        let earned = passed_s * self.options.budget_bytes_per_s as f64;
        let most = self.options.burst_bytes as f64;
        self.tokens_bytes = (self.tokens_bytes + earned).min(most);
        self.refilled_at = now;
    }

    fn count_lost(&mut self, index: usize, entries: &[RingEntry]) {
        let cursor = &mut self.cursors[index];
        let Some(first) = entries.first() else {
            return;
        };
        let missing = first.sequence - cursor.sent - 1;
        // What was overwritten before a peer was chosen is no loss of copies.
        if cursor.sent > 0 {
            self.lost += missing;
        }
        cursor.sent += missing;
    }

    /// Packs the events that an allowance of bytes pays for, and takes it from
    /// the budget.
    fn pack(&mut self, entries: Vec<RingEntry>, allowance_bytes: f64) -> Option<EventCopies> {
        let mut cost_bytes = BATCH_OVERHEAD_BYTES as f64;
        let mut copies = EventCopies {
            origin: self.own.to_string(),
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
