//! Asks the coordinators of upstreams for slots, and answers as a coordinator.
//!
//! Questions and answers are datagrams: each costs one system call, and a lost one costs only
//! the answer timeout.
//!
//! Locks: at most one of `coordinator`, `pending` and `unresponsive` is held at a time. The
//! state may be locked while `coordinator` is held, never the other way round.

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
use crate::state::State;
use crate::traffic::Traffic;
use foxtide_clock::SteadyClock;
use foxtide_core::admission::{
    AddressedAnswer,
    Answer,
    Coordinator,
    SlotRequest,
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

/// The slots that an instance coordinates and those that it asks for.
#[derive(Debug)]
pub(crate) struct Admission {
    options: AdmissionOptions,
    clock: SteadyClock,
    traffic: Arc<Traffic>,
    socket: Async<UdpSocket>,
    address: SocketAddr,
    coordinator: Mutex<Coordinator>,
    /// The unanswered questions of this instance, by number.
    pending: Mutex<HashMap<u64, Sender<Answer>>>,
    /// Coordinators that did not answer, and until when they are not asked.
    unresponsive: Mutex<HashMap<SocketAddr, MonotonicTime>>,
    next_number: AtomicU64,
}

impl Admission {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
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
            unresponsive: Mutex::default(),
            // A restarted process on the same address uses other numbers.
            next_number: AtomicU64::new(fastrand::u64(..)),
        })
    }

    /// Returns the address for datagrams of other instances.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Applies `change` to the coordinator and sends the resulting answers.
    fn with_coordinator(
        &self,
        change: impl FnOnce(&mut Coordinator, MonotonicTime) -> Vec<AddressedAnswer>,
    ) {
        let now = self.clock.now();
        let answers = change(&mut self.coordinator.lock(), now);
        for (ticket, answer) in answers {
            self.answer(ticket, answer);
        }
    }

    /// Answers a request for a slot.
    fn answer_ask(&self, request: &SlotRequest, slots: u32, state: &Mutex<State>) {
        self.with_coordinator(|own, now| {
            if own.is_limited(request) {
                let since = state.lock().coordinates_since(&request.upstream);
                own.set_coordinating(request, since, now);
            }
            own.ask(request, slots, now)
        });
    }

    /// Drops incarnations that `is_known` does not know, and unresponsive coordinators that may
    /// be asked again.
    pub(crate) fn prune(
        &self,
        now: MonotonicTime,
        is_known: impl Fn(&UpstreamId, Option<WallTime>) -> bool,
    ) {
        self.coordinator.lock().retain(is_known);
        self.unresponsive.lock().retain(|_, until| now < *until);
    }

    /// Sets the gauge of the slots that are reserved for urgent work.
    pub(crate) fn report_reserved_slots(&self, now: MonotonicTime) {
        let reserved = self.coordinator.lock().reserved_slots(now);
        metrics::gauge!("foxtide_reserved_slots").set(reserved as f64);
    }

    /// Returns the largest difference of used service time between two organisations that wait
    /// for slots of an upstream that this instance coordinates.
    pub(crate) fn fair_share_debt(&self, now: MonotonicTime) -> Duration {
        self.coordinator.lock().fair_share_debt(now)
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

    /// Delivers an answer to the request that waits for it, if any.
    fn deliver(&self, number: u64, answer: Answer) {
        if let Some(waiting) = self.pending.lock().get(&number)
            && waiting.try_send(answer).is_err()
        {
            log::debug!("dropped slot answer {number}: its request has ended");
        }
    }

    /// Sends a datagram to another instance.
    pub(crate) fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let bytes = datagram.encode_to_vec();
        self.traffic.count(datagram.traffic_kind(), bytes.len());
        // A datagram that the socket cannot take at once counts as lost.
        if let Err(error) = self.socket.get_ref().send_to(&bytes, to) {
            log::debug!("cannot send a datagram to {to}: {error}");
        }
    }

    /// Returns an unused number for a datagram.
    pub(crate) fn next_datagram_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Tells whether a coordinator recently failed to answer.
    pub(crate) fn is_unresponsive(&self, coordinator: SocketAddr) -> bool {
        let now = self.clock.now();
        let unresponsive = self.unresponsive.lock();
        unresponsive
            .get(&coordinator)
            .is_some_and(|until| now < *until)
    }

    /// Records that a coordinator failed to answer.
    pub(crate) fn mark_unresponsive(&self, coordinator: SocketAddr) {
        let until = self.clock.now() + self.options.silent_time;
        self.unresponsive.lock().insert(coordinator, until);
    }
}
