//! Rejection of invalid datagrams, and acceptance of compatible newer versions.

use crate::fleet::{
    start,
    wait_until, //
};
use foxtide_mesh::{
    Faults,
    MeshHandle,
    TrafficCounts, //
};
use prost::Message;
use rand::rngs::StdRng;
use rand::{
    Rng,
    RngExt,
    SeedableRng, //
};
use std::net::UdpSocket;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The header format of a later version.
#[derive(Clone, PartialEq, prost::Message)]
struct LaterHeader {
    #[prost(uint32, tag = "1")]
    version: u32,
    #[prost(uint32, tag = "2")]
    minimum_version: u32,
    #[prost(fixed64, tag = "3")]
    cluster: u64,
    #[prost(string, tag = "4")]
    sender: String,
    #[prost(uint64, tag = "5")]
    epoch_us: u64,
    #[prost(uint64, tag = "6")]
    sequence: u64,
    #[prost(string, tag = "99")]
    unknown: String,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Ping {
    #[prost(uint64, tag = "1")]
    probe: u64,
    #[prost(string, tag = "2")]
    target: String,
}

/// The datagram format of a later version.
#[derive(Clone, PartialEq, prost::Message)]
struct LaterDatagram {
    #[prost(message, optional, tag = "1")]
    header: Option<LaterHeader>,
    #[prost(message, optional, tag = "2")]
    ping: Option<Ping>,
    #[prost(uint64, optional, tag = "3")]
    ack: Option<u64>,
    #[prost(string, tag = "98")]
    unknown: String,
}

/// An instance and the socket of a simulated peer.
struct Fixture {
    instance: MeshHandle,
    socket: UdpSocket,
}

impl Fixture {
    fn start() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket
            .set_read_timeout(Some(Duration::from_secs(60)))
            .unwrap();
        Self {
            instance: start(0, &[], &Faults::default()),
            socket,
        }
    }

    fn send(&self, bytes: &[u8]) {
        let to = self.instance.peer_address();
        self.socket.send_to(bytes, to).unwrap();
    }

    /// Sends a datagram and waits until the counter has increased by one.
    fn expect_one_more(&self, bytes: &[u8], count: fn(&TrafficCounts) -> u64) {
        let before = count(&self.instance.traffic());
        self.send(bytes);
        wait_until("the datagram is counted", || {
            count(&self.instance.traffic()) == before + 1
        });
    }

    /// Sends a datagram until the probe in it is acked.
    fn send_until_acked(&self, bytes: &[u8], probe: u64) {
        self.socket.set_nonblocking(true).unwrap();
        wait_until("the probe is acked", || {
            self.send(bytes);
            let mut buffer = [0; 2_048];
            let mut is_acked = false;
            while let Ok(size_bytes) = self.socket.recv(&mut buffer) {
                let datagram = LaterDatagram::decode(&buffer[..size_bytes]).unwrap();
                is_acked |= datagram.ack == Some(probe);
            }
            is_acked
        });
        self.socket.set_nonblocking(false).unwrap();
    }

    /// Waits for the ack of the given probe.
    fn expect_ack(&self, probe: u64) {
        let mut buffer = [0; 2_048];
        loop {
            let size_bytes = self.socket.recv(&mut buffer).unwrap();
            let datagram = LaterDatagram::decode(&buffer[..size_bytes]).unwrap();
            if datagram.ack == Some(probe) {
                return;
            }
        }
    }
}

fn ping(probe: u64) -> LaterDatagram {
    LaterDatagram {
        header: Some(LaterHeader {
            version: 1,
            minimum_version: 1,
            cluster: xxh3_64(b"foxtide"),
            sender: String::from("peer"),
            epoch_us: 7,
            sequence: probe,
            unknown: String::new(),
        }),
        ping: Some(Ping {
            probe,
            target: String::from("i0"),
        }),
        ack: None,
        unknown: String::new(),
    }
}

fn with_header(probe: u64, change: impl FnOnce(&mut LaterHeader)) -> Vec<u8> {
    let mut datagram = ping(probe);
    change(datagram.header.as_mut().unwrap());
    datagram.encode_to_vec()
}

#[test]
fn verify_a_ping_is_acknowledged() {
    let fixture = Fixture::start();
    fixture.send(&ping(1).encode_to_vec());
    fixture.expect_ack(1);
}

#[test]
fn verify_a_compatible_later_version_is_acknowledged() {
    let fixture = Fixture::start();
    let mut datagram = ping(1);
    datagram.unknown = String::from("of a later version");
    let header = datagram.header.as_mut().unwrap();
    header.version = 9;
    header.unknown = String::from("of a later version");
    fixture.send(&datagram.encode_to_vec());
    fixture.expect_ack(1);
}

#[test]
fn verify_an_incompatible_version_is_dropped() {
    let fixture = Fixture::start();
    let bytes = with_header(1, |header| header.minimum_version = 2);
    fixture.expect_one_more(&bytes, |counts| counts.future_version);
}

#[test]
fn verify_another_cluster_is_dropped() {
    let fixture = Fixture::start();
    let bytes = with_header(1, |header| header.cluster = xxh3_64(b"other"));
    fixture.expect_one_more(&bytes, |counts| counts.foreign_cluster);
}

#[test]
fn verify_a_replayed_datagram_is_dropped() {
    let fixture = Fixture::start();
    let bytes = ping(1).encode_to_vec();
    fixture.send(&bytes);
    fixture.expect_ack(1);
    fixture.expect_one_more(&bytes, |counts| counts.replayed);
    let earlier = with_header(2, |header| header.epoch_us = 6);
    fixture.expect_one_more(&earlier, |counts| counts.replayed);
}

#[test]
fn verify_malformed_datagrams_are_dropped() {
    let fixture = Fixture::start();
    fixture.expect_one_more(b"", |counts| counts.malformed);
    fixture.expect_one_more(&[0xff; 1_400], |counts| counts.malformed);
    let no_name = with_header(1, |header| header.sender = String::from("No Name"));
    fixture.expect_one_more(&no_name, |counts| counts.malformed);
    let valid = ping(2).encode_to_vec();
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..500 {
        let mut bytes = valid.clone();
        let index = rng.random_range(0..bytes.len());
        bytes[index] = rng.next_u32() as u8;
        bytes.truncate(rng.random_range(0..=valid.len()));
        fixture.send(&bytes);
    }
    // The highest epoch and sequence number, which no mutated datagram has used.
    let last = with_header(u64::MAX, |header| header.epoch_us = u64::MAX);
    // A busy instance may still have a full buffer and drop it, so it is sent until it is
    // answered. Copies of it are replays.
    fixture.send_until_acked(&last, u64::MAX);
    let before = fixture.instance.traffic().replayed;
    wait_until("a copy counts as a replay", || {
        fixture.send(&last);
        fixture.instance.traffic().replayed > before
    });
}
