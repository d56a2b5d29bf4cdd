//! Replicates the events of an instance to peers and stores theirs.
//!
//! Sender and holder have a lock each. The recorder's lock may be taken under the
//! sender's; no other locks are nested.

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

/// Options of a time line.
#[derive(Clone, Copy, Debug)]
pub struct TimeLineOptions {
    /// Number of peers that store this instance's events; 2 by default.
    pub copies: usize,
    /// Options for sending events.
    pub sender: SenderOptions,
    /// Options for storing the events of peers.
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
    reported_lost: u64,
}

#[derive(Debug)]
struct Shared {
    own: BackupPeer,
    copies: usize,
    recorder: Recorder,
    sending: Mutex<Sending>,
    holder: Mutex<BackupHolder>,
}

/// Replicates this instance's events to peers and stores theirs.
///
/// The caller calls [`set_members`](Self::set_members) when the members change,
/// sends the messages that [`poll`](Self::poll) returns once a second, passes
/// received copies to [`accept`](Self::accept) and sends its ack back, and passes
/// received acks to [`acknowledge`](Self::acknowledge). Clones share all state.
#[derive(Clone, Debug)]
pub struct TimeLine {
    shared: Arc<Shared>,
}

impl TimeLine {
    /// Returns the time line of the recorder's instance; `own` is its location.
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
            sending: Mutex::new(Sending {
                sender,
                reported_lost: 0,
            }),
            holder: Mutex::new(BackupHolder::new(options.holder)),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Chooses the peers that store this instance's events from the members.
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
        let newly_lost = sending.sender.lost() - sending.reported_lost;
        sending.reported_lost += newly_lost;
        drop(sending);
        if newly_lost > 0 {
            let detail = format!("events={newly_lost}");
            recorder.record(EventCode::TimeLineCopyLost, EventFields::detail(detail));
        }
        parcels
    }

    /// Processes the ack of a peer.
    pub fn acknowledge(&self, peer: &InstanceId, ack: EventCopiesAck) {
        let mut sending = self.shared.sending.lock();
        sending.sender.acknowledge(peer, ack.through);
    }

    /// Stores events of a peer and returns the ack. Later events of this instance
    /// sort after them.
    ///
    /// # Errors
    ///
    /// Fails if the name of the originating instance is invalid.
    pub fn accept(&self, copies: EventCopies) -> Result<EventCopiesAck> {
        if let Some(last) = copies.events.last() {
            self.shared.recorder.observe(last.clock());
        }
        self.shared.holder.lock().accept(copies)
    }

    /// Returns the latest [`EventFilter::limit`] own and stored events that match a
    /// filter, in causal order.
    pub fn select(&self, filter: &EventFilter) -> Vec<Event> {
        let own = self.shared.recorder.select(filter);
        let copies = self.shared.holder.lock().select(filter);
        let mut events = merge([own, copies]);
        let limit = filter.limit.unwrap_or(usize::MAX);
        events.drain(..events.len().saturating_sub(limit));
        events
    }

    /// Returns the memory used by the events of peers, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.shared.holder.lock().size_bytes()
    }
}
