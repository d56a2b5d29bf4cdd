//! The time line as one instance knows it: its own events and those that it
//! keeps for peers.
//!
//! Locks: one around the sender, one around the holder; the recorder's is
//! taken inside the sender's, none other is nested.

use crate::Recorder;
use foxtide_core::Result;
use foxtide_core::events::backup::{
    BackupBatch,
    BackupHolder,
    BackupPeer,
    BackupSender,
    HolderOptions,
    SenderOptions,
    choose_peers, //
};
use foxtide_core::events::{
    Event,
    EventCode,
    EventCopies,
    EventCopiesAck,
    EventFields,
    EventFilter,
    merge, //
};
use foxtide_core::ids::InstanceId;
use foxtide_core::time::MonotonicTime;
use parking_lot::Mutex;
use std::sync::Arc;

/// How a time line works.
#[derive(Clone, Copy, Debug)]
pub struct TimeLineOptions {
    /// At how many peers this instance's events are kept; 2 by default.
    pub copies: usize,
    /// How they are sent.
    pub sender: SenderOptions,
    /// How much is kept for others.
    pub holder: HolderOptions,
}

impl Default for TimeLineOptions {
    fn default() -> Self {
        Self {
            copies: 2,
            sender: SenderOptions::default(),
            holder: HolderOptions::default(),
        }
    }
}

#[derive(Debug)]
struct Sending {
    sender: BackupSender,
    lost: u64,
}

#[derive(Debug)]
struct Shared {
    own: BackupPeer,
    copies: usize,
    recorder: Recorder,
    sending: Mutex<Sending>,
    holder: Mutex<BackupHolder>,
}

/// Copies this instance's events to peers and keeps those of others.
///
/// The mesh calls [`set_members`](Self::set_members) when the members change,
/// [`poll`](Self::poll) once a second and sends what it returns, passes
/// arriving copies to [`accept`](Self::accept) and sends its answer back, and
/// passes arriving answers to [`acknowledge`](Self::acknowledge). Clones share
/// all.
#[derive(Clone, Debug)]
pub struct TimeLine {
    shared: Arc<Shared>,
}

impl TimeLine {
    /// Returns the time line of the recorder's instance, which stands where
    /// `own` says.
    pub fn new(
        recorder: Recorder,
        own: BackupPeer,
        options: TimeLineOptions,
        now: MonotonicTime,
    ) -> Self {
        let sender = BackupSender::new(own.instance.clone(), options.sender, now);
        let shared = Shared {
            own,
            copies: options.copies,
            recorder,
            sending: Mutex::new(Sending { sender, lost: 0 }),
            holder: Mutex::new(BackupHolder::new(options.holder)),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Chooses the peers that keep this instance's events among the members.
    pub fn set_members(&self, members: &[BackupPeer]) {
        let peers = choose_peers(&self.shared.own, members, self.shared.copies);
        self.shared.sending.lock().sender.set_peers(peers);
    }

    /// Returns the messages that are due now.
    pub fn poll(&self, now: MonotonicTime) -> Vec<BackupBatch> {
        let recorder = &self.shared.recorder;
        let mut sending = self.shared.sending.lock();
        let after = |sequence, limit| recorder.notable_after(sequence, limit);
        let parcels = sending.sender.poll(now, after);
        let newly_lost = sending.sender.lost() - sending.lost;
        sending.lost += newly_lost;
        drop(sending);
        if newly_lost > 0 {
            let detail = format!("events={newly_lost}");
            recorder.record(EventCode::TimeLineCopyLost, EventFields::detail(detail));
        }
        parcels
    }

    /// Notes a peer's answer.
    pub fn acknowledge(&self, peer: &InstanceId, ack: EventCopiesAck) {
        let mut sending = self.shared.sending.lock();
        sending.sender.acknowledge(peer, ack.through);
    }

    /// Keeps what a peer sent; returns the answer to it. Later events here are
    /// placed after the ones kept.
    ///
    /// # Errors
    ///
    /// Fails where the origin's name does not parse.
    pub fn accept(&self, copies: EventCopies) -> Result<EventCopiesAck> {
        if let Some(last) = copies.events.last() {
            self.shared.recorder.observe(last.clock());
        }
        self.shared.holder.lock().accept(copies)
    }

    /// Returns this instance's events and those kept for peers that pass a
    /// filter, in causal order; the latest [`EventFilter::limit`] of them.
    pub fn select(&self, filter: &EventFilter) -> Vec<Event> {
        let own = self.shared.recorder.select(filter);
        let kept = self.shared.holder.lock().select(filter);
        let mut events = merge([own, kept]);
        let limit = filter.limit.unwrap_or(usize::MAX);
        events.drain(..events.len().saturating_sub(limit));
        events
    }

    /// Returns the memory that events kept for peers take, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.shared.holder.lock().size_bytes()
    }
}
