//! A coordinator of slots that answers as a test wants.

use super::{
    Fleet,
    eventually, //
};
use foxtide_core::registry::{
    Member,
    Members, //
};
use foxtide_core::time::MonotonicTime;
use foxtide_gateway::Fact;
use prost::Message;
use std::cell::RefCell;
use std::net::{
    SocketAddr,
    UdpSocket, //
};

/// The parts of datagrams that tests look at.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SlotMessage {
    #[prost(fixed64, tag = "1")]
    number: u64,
    #[prost(message, optional, tag = "2")]
    ask: Option<()>,
    /// The end of a request; whether the upstream served it.
    #[prost(bool, optional, tag = "4")]
    end: Option<bool>,
    #[prost(message, optional, tag = "5")]
    answer: Option<SlotAnswer>,
}

/// The answer to a request for a slot.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SlotAnswer {
    #[prost(bool, tag = "1")]
    is_granted: bool,
}

/// An instance of the store that only receives and sends datagrams about slots.
#[derive(Debug)]
pub(crate) struct FakeCoordinator {
    socket: UdpSocket,
    received: RefCell<Vec<(SocketAddr, SlotMessage)>>,
}

impl FakeCoordinator {
    /// Joins the fleet as the instance that coordinates `upstream` beside the instance `other`,
    /// whose link is unknown.
    pub(crate) fn join(fleet: &Fleet, upstream: &str, other: &str) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_nonblocking(true).unwrap();
        let address = socket.local_addr().unwrap();
        let is_coordinator = |own: &Member| {
            let mut members = Members::default();
            for member in [own.clone(), member(other, address)] {
                members.join(member, MonotonicTime::ZERO);
            }
            members.coordinator(&upstream.parse().unwrap(), &own.region) == Some(own)
        };
        let mut candidates = (0..).map(|number| member(&format!("fake-{number}"), address));
        let own = candidates.find(is_coordinator).unwrap();
        let key = format!("instance/{}", own.instance);
        fleet.store.put(&key, Fact::Joined(own));
        Self {
            socket,
            received: RefCell::default(),
        }
    }

    /// Receives what has arrived.
    fn receive(&self) {
        let mut bytes = [0; 512];
        while let Ok((size_bytes, from)) = self.socket.recv_from(&mut bytes) {
            let message = SlotMessage::decode(&bytes[..size_bytes]).unwrap();
            self.received.borrow_mut().push((from, message));
        }
    }

    /// Returns the numbers of the asks so far.
    pub(crate) fn asks(&self) -> Vec<u64> {
        self.receive();
        let received = self.received.borrow();
        let asks = received.iter().filter(|(_, message)| message.ask.is_some());
        asks.map(|(_, message)| message.number).collect()
    }

    /// Waits for the ask after `count` others and returns its number.
    pub(crate) fn ask_after(&self, count: usize) -> u64 {
        eventually("a slot is asked for", || self.asks().len() > count);
        self.asks()[count]
    }

    /// Returns the ends of a request: whether each says that the upstream served it.
    pub(crate) fn ends_of(&self, number: u64) -> Vec<bool> {
        self.receive();
        let received = self.received.borrow();
        let of_request = received.iter().filter(|(_, one)| one.number == number);
        of_request.filter_map(|(_, one)| one.end).collect()
    }

    /// Answers a request for a slot: grants it, or lets it wait.
    pub(crate) fn answer(&self, number: u64, is_granted: bool) {
        let received = self.received.borrow();
        let (requester, _) = received
            .iter()
            .find(|(_, one)| one.number == number)
            .unwrap();
        let message = SlotMessage {
            number,
            answer: Some(SlotAnswer { is_granted }),
            ..SlotMessage::default()
        };
        self.socket
            .send_to(&message.encode_to_vec(), requester)
            .unwrap();
    }
}

/// Returns an instance with one address for all, whose link is unknown.
pub(crate) fn member(name: &str, address: SocketAddr) -> Member {
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
