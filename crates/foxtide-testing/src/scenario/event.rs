//! Events of the simulation and messages to instances.

use super::operation::OperationNumber;
use super::process::PeerReport;
use super::upstream::AttemptNumber;
use foxtide_core::choice::{
    Poll,
    PollResult, //
};
use foxtide_core::dissemination::Document;
use foxtide_core::ids::{
    InstanceId,
    RegionId,
    ServiceId,
    UpstreamId, //
};
use foxtide_core::membership::{
    Member,
    Packet, //
};
use std::net::SocketAddr;

/// Identifies one copy of a request at one instance.
pub(super) type CopyNumber = u64;

/// End of an attempt as its instance sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    /// The connection was refused.
    NotSent,
    /// The upstream rejected the request without running it.
    Refused,
    /// The complete response arrived.
    Answered,
    /// The connection broke after the request was sent.
    Lost,
}

/// Members and documents known to a process.
#[derive(Clone, Debug)]
pub(super) struct Snapshot {
    pub(super) members: Vec<Member>,
    pub(super) documents: Vec<Document>,
}

/// A message or timer for the process of an instance.
#[derive(Debug)]
pub(super) enum Delivery {
    /// A datagram of the membership protocol.
    Packet {
        sender: InstanceId,
        from: SocketAddr,
        packet: Packet,
    },
    /// A load report of a peer.
    Report { from: InstanceId, heard: PeerReport },
    /// State of a peer when it sent this.
    Snapshot(Snapshot),
    /// A document from the store or from a peer.
    Document(Document),
    /// Result of a poll of the load endpoint of an upstream.
    Poll {
        service: ServiceId,
        region: RegionId,
        poll: Poll,
        result: PollResult,
    },
    /// Time for the next attempt of a copy.
    Proceed(CopyNumber),
    /// Time for a hedged attempt of a copy.
    Hedge(CopyNumber),
    /// The deadline of a copy has passed.
    Deadline(CopyNumber),
    /// An attempt has ended.
    AttemptEnds {
        attempt: AttemptNumber,
        end: AttemptEnd,
    },
    /// A request of a caller arrives.
    Request(OperationNumber),
}

/// An event of the simulation.
#[derive(Debug)]
pub(super) enum Event {
    /// All processes run their periodic work.
    Tick,
    /// All processes send their reports, and watchers read the store.
    Report,
    /// The next request of a load arrives.
    Arrival { load: usize },
    /// A request of a replayed trace arrives.
    RecordedArrival { index: usize },
    /// A caller retries its request.
    Retry(OperationNumber),
    /// A caller stops waiting for the copy with number `sent`.
    CallerTimeout {
        operation: OperationNumber,
        sent: u32,
    },
    /// A message reaches a process; dropped if the process has ended.
    Deliver {
        instance: usize,
        process: u64,
        /// Boxed to keep events in the queue small.
        delivery: Box<Delivery>,
    },
    /// An attempt reaches its upstream.
    AttemptArrives(AttemptNumber),
    /// The cancellation of an attempt reaches its upstream.
    CancelArrives(AttemptNumber),
    /// An upstream finishes an attempt.
    ServiceEnds {
        upstream: UpstreamId,
        attempt: AttemptNumber,
    },
    /// A paused process resumes.
    Resume { instance: usize },
    /// A leaving instance ends if it is idle; first due when its look-ups have expired.
    EndWhenIdle { instance: usize },
    /// The drain window of an upstream is over and its process ends.
    DrainWindowEnds { upstream: UpstreamId },
}
