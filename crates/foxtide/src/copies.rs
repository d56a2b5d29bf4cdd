//! Copies of the time line at peers, over the mesh's calls.

use foxtide_core::events::backup::{
    BackupBatch,
    BackupPeer, //
};
use foxtide_core::events::{
    EventCopies,
    EventCopiesAck, //
};
use foxtide_core::membership::Member;
use foxtide_entry::{
    Clock,
    SystemClock, //
};
use foxtide_events::TimeLine;
use foxtide_mesh::{
    IncomingCall,
    MeshHandle, //
};
use prost::Message;
use smol::Timer;
use std::time::Duration;

/// The time between two looks at what is to be copied.
const COPY_INTERVAL: Duration = Duration::from_secs(1);

/// How long a peer may take to keep what it is sent.
const CALL_DEADLINE: Duration = Duration::from_secs(2);

/// What one instance calls another for.
#[derive(Clone, PartialEq, prost::Message)]
struct PeerCall {
    /// Events to keep.
    #[prost(message, optional, tag = "1")]
    copies: Option<EventCopies>,
}

/// Copies this instance's events to peers and keeps theirs.
#[derive(Clone, Debug)]
pub(crate) struct Copies {
    pub(crate) time_line: TimeLine,
    pub(crate) mesh: MeshHandle,
    pub(crate) clock: SystemClock,
}

impl Copies {
    /// Copies events for good.
    pub(crate) async fn send(self) {
        loop {
            Timer::after(COPY_INTERVAL).await;
            let members = self.mesh.members();
            let running = members.iter().filter(|member| member.state.is_usable());
            let peers: Vec<BackupPeer> = running.map(peer).collect();
            self.time_line.set_members(&peers);
            self.send_due().await;
        }
    }

    async fn send_due(&self) {
        for batch in self.time_line.poll(self.clock.now()) {
            self.send_one(batch).await;
        }
    }

    /// Sends events to one peer. Without an answer they are due again later.
    async fn send_one(&self, batch: BackupBatch) {
        let call = PeerCall {
            copies: Some(batch.copies),
        };
        let bytes = call.encode_to_vec();
        let Ok(answer) = self.mesh.call(&batch.to, bytes, CALL_DEADLINE).await else {
            return;
        };
        if let Ok(ack) = EventCopiesAck::decode(&answer[..]) {
            self.time_line.acknowledge(&batch.to, ack);
        }
    }

    /// Keeps what peers send, for good.
    pub(crate) async fn receive(self) {
        let calls = self.mesh.incoming_calls();
        while let Ok(call) = calls.recv().await {
            self.answer(call);
        }
    }

    /// Answers a call; one that cannot be read is left without an answer.
    fn answer(&self, call: IncomingCall) {
        let copies = PeerCall::decode(&call.bytes[..])
            .ok()
            .and_then(|c| c.copies);
        let kept = copies.and_then(|copies| self.time_line.accept(copies).ok());
        if let Some(ack) = kept {
            call.respond(ack.encode_to_vec());
        }
    }
}

fn peer(member: &Member) -> BackupPeer {
    BackupPeer {
        instance: member.instance.clone(),
        availability_zone: member.availability_zone.clone(),
        region: member.region.clone(),
    }
}
