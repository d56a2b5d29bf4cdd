//! Asks the coordinator of an upstream for a slot, and answers as one.
//!
//! Datagrams carry questions and answers: they cost one system call each, a lost
//! one only costs the time of an answer, and no connection can fall silent.
//!
//! Locks: of `coordinator`, `pending` and `silent` none is taken while another is held.
//! The state may be taken while `coordinator` is held (housekeeping), never the other way
//! round.

mod client;
mod server;
mod socket;

pub(crate) use client::{
    Admitted,
    Slot,
    SlotAnswer,
    SlotTerms, //
};
pub(crate) use server::serve_admission;

use crate::datagram::Datagram;
use crate::errors::Result;
use crate::options::AdmissionOptions;
use crate::traffic::Traffic;
use foxtide_clock::SteadyClock;
use foxtide_core::admission::{
    AddressedAnswer,
    Answer,
    Coordinator,
    Ticket, //
};
use foxtide_core::ids::UpstreamId;
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use parking_lot::Mutex;
use prost::Message;
use smol::Async;
use smol::channel::Sender;
use std::collections::HashMap;
use std::net::{
    SocketAddr,
    UdpSocket, //
};
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::time::Duration;

/// What an instance shares out and what it asks for.
#[derive(Debug)]
pub(crate) struct Admission {
    options: AdmissionOptions,
    clock: SteadyClock,
    traffic: Arc<Traffic>,
    socket: Async<UdpSocket>,
    address: SocketAddr,
    coordinator: Mutex<Coordinator>,
    /// Those of this instance that wait for an answer, by their numbers.
    pending: Mutex<HashMap<u64, Sender<Answer>>>,
    /// Coordinators that did not answer, and until when they are not asked.
    silent: Mutex<HashMap<SocketAddr, MonotonicTime>>,
    next_number: AtomicU64,
}

impl Admission {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
    pub(crate) fn bind(
        address: SocketAddr,
        options: AdmissionOptions,
        clock: SteadyClock,
        traffic: Arc<Traffic>,
    ) -> Result<Self> {
        let (socket, address) = socket::bind(address)?;
        Ok(Self {
            options,
            clock,
            traffic,
            socket,
            address,
            coordinator: Mutex::default(),
            pending: Mutex::default(),
            silent: Mutex::default(),
            // A process that starts again on the same address uses other numbers.
            next_number: AtomicU64::new(fastrand::u64(..)),
        })
    }

    /// Returns where other instances ask.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets `change` work on the coordinator, and sends the answers.
    fn coordinate(
        &self,
        change: impl FnOnce(&mut Coordinator, MonotonicTime) -> Vec<AddressedAnswer>,
    ) {
        let now = self.clock.now();
        let answers = change(&mut self.coordinator.lock(), now);
        for (ticket, answer) in answers {
            self.answer(ticket, answer);
        }
    }

    /// Forgets what concerns incarnations of upstreams that `is_known` does not know, and
    /// coordinators that may be asked again.
    pub(crate) fn prune(
        &self,
        now: MonotonicTime,
        is_known: impl Fn(&UpstreamId, Option<WallTime>) -> bool,
    ) {
        self.coordinator.lock().retain(is_known);
        self.silent.lock().retain(|_, until| now < *until);
    }

    fn answer(&self, ticket: Ticket, answer: Answer) {
        if ticket.requester == self.address {
            self.deliver(ticket.number, answer);
        } else {
            self.send(ticket.requester, &Datagram::answer(ticket.number, answer));
        }
    }

    /// Returns how long an instance of the region may take to answer.
    pub(crate) fn answer_time(&self) -> Duration {
        self.options.answer_time
    }

    /// Hands an answer to the request that waits for it, if it still does.
    fn deliver(&self, number: u64, answer: Answer) {
        if let Some(waiting) = self.pending.lock().get(&number)
            && waiting.try_send(answer).is_err()
        {
            log::debug!("answer {number} came after its request had ended");
        }
    }

    /// Sends a datagram to another instance.
    pub(crate) fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let bytes = datagram.encode_to_vec();
        self.traffic.count(datagram.sent(), bytes.len());
        // A datagram that cannot be sent at once is lost like any other.
        if let Err(error) = self.socket.get_ref().send_to(&bytes, to) {
            log::debug!("a datagram to {to} was not sent: {error}");
        }
    }

    /// Returns a number for a question that was not used before.
    pub(crate) fn number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Tells whether an instance did not answer a moment ago.
    pub(crate) fn is_silent(&self, coordinator: SocketAddr) -> bool {
        let now = self.clock.now();
        let silent = self.silent.lock();
        silent.get(&coordinator).is_some_and(|until| now < *until)
    }

    /// Notes that an instance did not answer.
    pub(crate) fn note_silent(&self, coordinator: SocketAddr) {
        let until = self.clock.now() + self.options.silent_time;
        self.silent.lock().insert(coordinator, until);
    }
}
