//! A coordinator of slots that answers as a test wants.

use super::{
    Fleet,
    eventually, //
};
use foxtide_core::ids::UpstreamId;
use foxtide_core::registry::{
    Member,
    Members, //
};
use foxtide_core::time::MonotonicTime;
use foxtide_gateway::Fact;
use prost::Message;
use std::net::{
    SocketAddr,
    UdpSocket, //
};
use std::sync::{
    Arc,
    Mutex, //
};

/// The parts of datagrams that tests look at.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SlotMessage {
    #[prost(fixed64, tag = "1")]
    pub(crate) number: u64,
    #[prost(message, optional, tag = "2")]
    pub(crate) ask: Option<Contents>,
    #[prost(message, optional, tag = "3")]
    pub(crate) notice: Option<Contents>,
    /// The end of a request; whether the upstream served it.
    #[prost(bool, optional, tag = "4")]
    pub(crate) end: Option<bool>,
    #[prost(message, optional, tag = "5")]
    pub(crate) answer: Option<SlotAnswer>,
}

/// Contents that tests do not look at.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Contents {}

/// The answer to a request for a slot.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SlotAnswer {
    #[prost(bool, tag = "1")]
    pub(crate) is_granted: bool,
}

/// An instance of the store that only receives and sends datagrams about slots.
#[derive(Debug)]
pub(crate) struct FakeCoordinator {
    socket: UdpSocket,
    received: Arc<Mutex<Vec<(SocketAddr, SlotMessage)>>>,
}

impl FakeCoordinator {
    /// Joins the fleet as the instance that coordinates `upstream` beside the instance `other`,
    /// whose link is unknown.
    pub(crate) fn join(fleet: &Fleet, upstream: &str, other: &str) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap();
        let names = (0..).map(|number| format!("fake-{number}"));
        let mut members = names.map(|name| member(&name, address));
        let coordinates =
            |own: &Member| is_coordinator(own, &upstream.parse().unwrap(), &member(other, address));
        let own = members.find(coordinates).unwrap();
        let key = format!("instance/{}", own.instance);
        fleet.store.put(&key, Fact::Joined(own));
        let received: Arc<Mutex<Vec<_>>> = Arc::default();
        let (receiving, into) = (socket.try_clone().unwrap(), Arc::clone(&received));
        std::thread::spawn(move || {
            let mut bytes = [0; 512];
            while let Ok((size_bytes, from)) = receiving.recv_from(&mut bytes) {
                if size_bytes == 0 {
                    return;
                }
                let message = SlotMessage::decode(&bytes[..size_bytes]).unwrap();
                into.lock().unwrap().push((from, message));
            }
        });
        Self { socket, received }
    }

    /// Returns the messages so far.
    pub(crate) fn received(&self) -> Vec<SlotMessage> {
        let received = self.received.lock().unwrap();
        received
            .iter()
            .map(|(_, message)| message.clone())
            .collect()
    }

    /// Waits for the ask after `count` others and returns its number.
    pub(crate) fn ask_after(&self, count: usize) -> u64 {
        let asks = || {
            let received = self.received().into_iter();
            received.filter(|message| message.ask.is_some())
        };
        eventually("a slot is asked for", || asks().count() > count);
        asks().nth(count).unwrap().number
    }

    /// Returns the ends of a request: whether each says that the upstream served it.
    pub(crate) fn ends_of(&self, number: u64) -> Vec<bool> {
        let received = self.received().into_iter();
        let of_request = received.filter(|message| message.number == number);
        of_request.filter_map(|message| message.end).collect()
    }

    /// Answers a request for a slot.
    pub(crate) fn answer(&self, number: u64, is_granted: bool) {
        let received = self.received.lock().unwrap();
        let asked = received.iter().find(|(_, asked)| asked.number == number);
        let (requester, _) = asked.unwrap();
        let message = SlotMessage {
            number,
            answer: Some(SlotAnswer { is_granted }),
            ..SlotMessage::default()
        };
        let bytes = message.encode_to_vec();
        self.socket.send_to(&bytes, requester).unwrap();
    }
}

impl Drop for FakeCoordinator {
    fn drop(&mut self) {
        // An empty datagram ends the receiving thread.
        let address = self.socket.local_addr().unwrap();
        let _ = self.socket.send_to(&[], address);
    }
}

fn member(name: &str, address: SocketAddr) -> Member {
    Member {
        instance: name.parse().unwrap(),
        caller_address: address,
        peer_address: address,
        datagram_address: address,
        availability_zone: "khomas-a".parse().unwrap(),
        region: "khomas".parse().unwrap(),
        registrar: None,
        link_mbps: 0,
        is_cut_off: false,
    }
}

fn is_coordinator(own: &Member, upstream: &UpstreamId, other: &Member) -> bool {
    let mut members = Members::default();
    for member in [own, other] {
        members.join(member.clone(), MonotonicTime::ZERO);
    }
    members.coordinator(upstream, &own.region) == Some(own)
}
