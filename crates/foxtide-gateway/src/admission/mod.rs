//! Asks the coordinators of upstreams for slots, and answers as a coordinator.
//!
//! Questions and answers are datagrams: each costs one system call, and a lost one costs only
//! the answer timeout.
//!
//! Locks: at most one of `coordinator`, `pending` and `round_trips` is held at a time. The
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
    RoundTripOptions,
    RoundTrips,
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
    /// The round-trip times with other instances, and which ones are skipped.
    round_trips: Mutex<RoundTrips>,
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
        let round_trips = RoundTrips::new(RoundTripOptions {
            timeout_min: options.answer_time,
            skip_time: options.silent_time,
            ..RoundTripOptions::default()
        });
        Ok(Self {
            options,
            clock,
            traffic,
            socket,
            address,
            coordinator: Mutex::default(),
            pending: Mutex::default(),
            round_trips: Mutex::new(round_trips),
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

    /// Drops incarnations that `is_known` does not know, and outdated round-trip times.
    pub(crate) fn prune(
        &self,
        now: MonotonicTime,
        is_known: impl Fn(&UpstreamId, Option<WallTime>) -> bool,
    ) {
        self.coordinator.lock().retain(is_known);
        self.round_trips.lock().prune(now);
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

    /// Returns how long an instance of the region may take to answer while its round-trip time
    /// is not known.
    pub(crate) fn answer_time(&self) -> Duration {
        self.options.answer_time
    }

    /// Delivers an answer to the request that waits for it; returns whether the request still
    /// waits or holds its slot.
    fn deliver(&self, number: u64, answer: Answer) -> bool {
        let pending = self.pending.lock();
        let Some(waiting) = pending.get(&number) else {
            return false;
        };
        if waiting.try_send(answer).is_err() {
            log::debug!("dropped slot answer {number}: its request has been answered");
        }
        true
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

    /// Returns how long to wait for the answer of another instance, which is `initial` while its
    /// round-trip time is not known.
    pub(crate) fn timeout(&self, coordinator: SocketAddr, initial: Duration) -> Duration {
        self.round_trips.lock().timeout(coordinator, initial)
    }

    /// Tells whether a coordinator is skipped, since it recently did not answer.
    pub(crate) fn is_skipped(&self, coordinator: SocketAddr) -> bool {
        let now = self.clock.now();
        self.round_trips.lock().is_skipped(coordinator, now)
    }

    /// Records that another instance is asked, for the first time or again.
    pub(crate) fn record_ask(&self, number: u64, coordinator: SocketAddr) {
        let now = self.clock.now();
        self.round_trips.lock().record_ask(number, coordinator, now);
    }

    /// Records the answer of another instance, which may be late.
    pub(crate) fn record_answer(&self, number: u64, coordinator: SocketAddr) {
        let now = self.clock.now();
        let mut round_trips = self.round_trips.lock();
        round_trips.record_answer(number, coordinator, now);
    }

    /// Records that an ask was not answered in time.
    pub(crate) fn record_timeout(&self, number: u64) {
        let now = self.clock.now();
        self.round_trips.lock().record_timeout(number, now);
    }

    /// Records that nobody waits for the answer to an ask.
    pub(crate) fn end_ask(&self, number: u64) {
        self.round_trips.lock().end_ask(number);
    }
}
