//! Backs up the events of the time line at peers, through mesh calls.

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

const COPY_INTERVAL: Duration = Duration::from_secs(1);

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The payload of a call to a peer.
#[derive(Clone, PartialEq, prost::Message)]
struct PeerCall {
    /// Events for the peer to store.
    #[prost(message, optional, tag = "1")]
    copies: Option<EventCopies>,
}

/// Sends this instance's events to peers and stores theirs.
#[derive(Clone, Debug)]
pub(crate) struct EventBackup {
    pub(crate) time_line: TimeLine,
    pub(crate) mesh: MeshHandle,
    pub(crate) clock: SystemClock,
}

impl EventBackup {
    /// Sends events that are due until the process ends.
    pub(crate) async fn send(self) {
        loop {
            Timer::after(COPY_INTERVAL).await;
            let members = self.mesh.members();
            let running = members.iter().filter(|member| member.state.is_usable());
            let peers: Vec<BackupPeer> = running.map(backup_peer).collect();
            self.time_line.set_members(&peers);
            self.send_due().await;
        }
    }

    async fn send_due(&self) {
        for batch in self.time_line.poll(self.clock.now()) {
            self.send_batch(batch).await;
        }
    }

    /// Sends events to one peer. Unacknowledged events become due again.
    async fn send_batch(&self, batch: BackupBatch) {
        let call = PeerCall {
            copies: Some(batch.copies),
        };
        let bytes = call.encode_to_vec();
        let Ok(answer) = self.mesh.call(&batch.to, bytes, CALL_TIMEOUT).await else {
            return;
        };
        if let Ok(ack) = EventCopiesAck::decode(&answer[..]) {
            self.time_line.acknowledge(&batch.to, ack);
        }
    }

    /// Stores the events that peers send until the process ends.
    pub(crate) async fn receive(self) {
        let calls = self.mesh.incoming_calls();
        while let Ok(call) = calls.recv().await {
            self.answer(call);
        }
    }

    /// Stores the events of a call and responds; ignores an invalid call.
    fn answer(&self, call: IncomingCall) {
        let copies = PeerCall::decode(&call.bytes[..])
            .ok()
            .and_then(|call| call.copies);
        let ack = copies.and_then(|copies| self.time_line.accept(copies).ok());
        if let Some(ack) = ack {
            call.respond(ack.encode_to_vec());
        }
    }
}

fn backup_peer(member: &Member) -> BackupPeer {
    BackupPeer {
        instance: member.instance.clone(),
        availability_zone: member.availability_zone.clone(),
        region: member.region.clone(),
    }
}
