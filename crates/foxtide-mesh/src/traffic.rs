//! Counters of sent, received and rejected messages.

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

/// Size of the IPv4 and UDP headers of a datagram.
const DATAGRAM_OVERHEAD_BYTES: u64 = 28;

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The message cannot be decoded.
    Malformed,
    /// The message belongs to another cluster.
    ForeignCluster,
    /// The message requires a newer protocol version.
    FutureVersion,
    /// The message is a replay.
    Replayed,
}

impl Rejection {
    /// Returns the name for metrics and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::ForeignCluster => "foreign-cluster",
            Self::FutureVersion => "future-version",
            Self::Replayed => "replayed",
        }
    }
}

/// Traffic counters of one instance since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounts {
    /// Datagrams sent.
    pub sent_datagrams: u64,
    /// Bytes sent, including the headers of datagrams.
    pub sent_bytes: u64,
    /// Bytes received, including the headers of datagrams.
    pub received_bytes: u64,
    /// Datagrams that could not be sent.
    pub unsent_datagrams: u64,
    /// Messages that could not be decoded.
    pub malformed: u64,
    /// Messages of other clusters.
    pub foreign_cluster: u64,
    /// Messages that require a newer protocol version.
    pub future_version: u64,
    /// Replayed messages.
    pub replayed: u64,
}

/// The counters behind [`TrafficCounts`].
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    sent_datagrams: AtomicU64,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    unsent_datagrams: AtomicU64,
    malformed: AtomicU64,
    foreign_cluster: AtomicU64,
    future_version: AtomicU64,
    replayed: AtomicU64,
}

impl Traffic {
    pub(crate) fn sent_datagram(&self, size_bytes: usize) {
        self.sent_datagrams.fetch_add(1, Ordering::Relaxed);
        self.sent_stream(size_bytes as u64 + DATAGRAM_OVERHEAD_BYTES);
    }

    pub(crate) fn unsent_datagram(&self) {
        self.unsent_datagrams.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn sent_stream(&self, size_bytes: u64) {
        self.sent_bytes.fetch_add(size_bytes, Ordering::Relaxed);
        metrics::counter!("foxtide_mesh_sent_bytes_total").increment(size_bytes);
    }

    pub(crate) fn received_datagram(&self, size_bytes: usize) {
        self.received_stream(size_bytes as u64 + DATAGRAM_OVERHEAD_BYTES);
    }

    pub(crate) fn received_stream(&self, size_bytes: u64) {
        self.received_bytes.fetch_add(size_bytes, Ordering::Relaxed);
        metrics::counter!("foxtide_mesh_received_bytes_total").increment(size_bytes);
    }

    pub(crate) fn rejected(&self, rejection: Rejection) {
        let count = match rejection {
            Rejection::Malformed => &self.malformed,
            Rejection::ForeignCluster => &self.foreign_cluster,
            Rejection::FutureVersion => &self.future_version,
            Rejection::Replayed => &self.replayed,
        };
        count.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("foxtide_mesh_rejected_total", "reason" => rejection.name()).increment(1);
    }

    pub(crate) fn counts(&self) -> TrafficCounts {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        TrafficCounts {
            sent_datagrams: read(&self.sent_datagrams),
            sent_bytes: read(&self.sent_bytes),
            received_bytes: read(&self.received_bytes),
            unsent_datagrams: read(&self.unsent_datagrams),
            malformed: read(&self.malformed),
            foreign_cluster: read(&self.foreign_cluster),
            future_version: read(&self.future_version),
            replayed: read(&self.replayed),
        }
    }
}
