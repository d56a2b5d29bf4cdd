//! What happens in a scenario.

use super::operation::OperationNumber;
use super::process::Heard;
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

/// Names one copy of a request at one instance.
pub(super) type CopyNumber = u64;

/// How an attempt ended, as its instance sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    /// The connection was refused.
    NotSent,
    /// The upstream refused it without running it.
    Refused,
    /// The whole answer came.
    Answered,
    /// The connection broke.
    Lost,
}

/// All that a process knows of members and documents.
#[derive(Clone, Debug)]
pub(super) struct Snapshot {
    pub(super) members: Vec<Member>,
    pub(super) documents: Vec<Document>,
}

/// A message to one process of one instance.
#[derive(Debug)]
pub(super) enum Delivery {
    /// A datagram of the membership protocol.
    Packet {
        sender: InstanceId,
        from: SocketAddr,
        packet: Packet,
    },
    /// A peer's report.
    Report { from: InstanceId, heard: Heard },
    /// All that a peer knew when it sent this.
    Snapshot(Snapshot),
    /// A document from the store or from a peer.
    Document(Document),
    /// The answer to a poll of an upstream's load endpoint.
    Poll {
        service: ServiceId,
        region: RegionId,
        poll: Poll,
        result: PollResult,
    },
    /// A copy of a request goes on.
    Proceed(CopyNumber),
    /// A copy's hedge is due.
    Hedge(CopyNumber),
    /// A copy's time has run out.
    Deadline(CopyNumber),
    /// An attempt has ended.
    AttemptEnds {
        attempt: AttemptNumber,
        end: AttemptEnd,
    },
    /// A caller's request arrives.
    Request(OperationNumber),
}

/// What happens at one moment.
#[derive(Debug)]
pub(super) enum Event {
    /// All processes do what is due.
    Tick,
    /// All processes report, and those that watch the store ask it.
    Report,
    /// The next request of a load arrives.
    Arrival { load: usize },
    /// A request of a replayed trace arrives.
    RecordedArrival { index: usize },
    /// A caller sends its request again.
    Retry(OperationNumber),
    /// A caller stops to wait for the copy that it sent last.
    CallerTimeout {
        operation: OperationNumber,
        sent: u32,
    },
    /// Something reaches an instance's process.
    Deliver {
        instance: usize,
        process: u64,
        /// Boxed, as events are moved about in the queue.
        delivery: Box<Delivery>,
    },
    /// An attempt reaches its upstream.
    AttemptArrives(AttemptNumber),
    /// An upstream hears that an attempt was given up.
    CancelArrives(AttemptNumber),
    /// An upstream is done with an attempt.
    ServiceEnds {
        upstream: UpstreamId,
        attempt: AttemptNumber,
    },
    /// A paused process wakes.
    Resume { instance: usize },
    /// A leaving instance's look-ups have expired at all callers.
    EndWhenIdle { instance: usize },
    /// A drained upstream's window is over and its process ends.
    DrainWindowEnds { upstream: UpstreamId },
}
