//! Counts the bytes that are sent to other instances, by kind.

use foxtide_events::{
    EventCode,
    log_event, //
};
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

/// The kinds of traffic between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrafficKind {
    /// Changes of the store, sent to a follower.
    Changes,
    /// The whole contents of the store, sent to a follower.
    Everything,
    /// A question to a followed instance.
    Question,
    /// Questions for slots of upstreams, their answers and notices of ends.
    Slots,
    /// Questions for tokens of quotas and their answers.
    Quotas,
    /// Reports of requests that end their upstreams.
    Poison,
    /// Reports and sums of demand.
    Demand,
}

impl TrafficKind {
    const ALL: [Self; 7] = [
        Self::Changes,
        Self::Everything,
        Self::Question,
        Self::Slots,
        Self::Quotas,
        Self::Poison,
        Self::Demand,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Changes => "changes",
            Self::Everything => "everything",
            Self::Question => "question",
            Self::Slots => "slots",
            Self::Quotas => "quotas",
            Self::Poison => "poison",
            Self::Demand => "demand",
        }
    }
}

/// The bytes that an instance has sent to others.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    /// The bytes that were not logged yet, in the order of [`TrafficKind::ALL`].
    unreported: [AtomicU64; TrafficKind::ALL.len()],
}

impl Traffic {
    /// Counts a message.
    pub(crate) fn count(&self, kind: TrafficKind, size_bytes: usize) {
        let size_bytes = size_bytes as u64;
        self.unreported[kind as usize].fetch_add(size_bytes, Ordering::Relaxed);
        metrics::counter!("foxtide_instance_bytes_total", "sent" => kind.as_str())
            .increment(size_bytes);
    }

    /// Logs the bytes that were sent since the last call, if any.
    pub(crate) fn report(&self) {
        let [changes, everything, question, slots, quotas, poison, demand] =
            TrafficKind::ALL.map(|kind| self.unreported[kind as usize].swap(0, Ordering::Relaxed));
        if changes + everything + question + slots + quotas + poison + demand == 0 {
            return;
        }
        log_event!(
            EventCode::InstanceBytes,
            changes = changes,
            everything = everything,
            question = question,
            slots = slots,
            quotas = quotas,
            poison = poison,
            demand = demand
        );
    }
}
