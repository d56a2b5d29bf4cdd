//! Receives and handles the datagrams of other instances.

use super::Admission;
use crate::datagram::{
    Body,
    Datagram,
    RequestMessage, //
};
use crate::demand;
use crate::dialect::Dialect;
use crate::poison;
use crate::quotas;
use crate::shared::Shared;
use crate::state::State;
use foxtide_core::admission::{
    Ending,
    Ticket, //
};
use parking_lot::Mutex;
use prost::Message;
use smol::Timer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The longest datagram: a name of 63 bytes and a few numbers.
const DATAGRAM_MAX_BYTES: usize = 512;

/// How long receiving pauses after a failure.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

/// Receives datagrams until the future is dropped.
pub(crate) async fn serve_admission<D: Dialect>(shared: Arc<Shared<D>>) {
    let admission = &shared.admission;
    let mut bytes = [0; DATAGRAM_MAX_BYTES];
    loop {
        match admission.socket.recv_from(&mut bytes).await {
            Ok((size_bytes, from)) => match Datagram::decode(&bytes[..size_bytes]) {
                Ok(datagram) => handle_datagram(&shared, from, datagram),
                Err(error) => log::debug!("cannot decode a datagram from {from}: {error}"),
            },
            Err(error) => {
                log::debug!("cannot receive a datagram: {error}");
                Timer::after(RECEIVE_PAUSE).await;
            }
        }
    }
}

fn handle_datagram<D: Dialect>(shared: &Arc<Shared<D>>, from: SocketAddr, datagram: Datagram) {
    shared.quotas.record_contact(from, shared.clock.now());
    let number = datagram.number;
    match datagram.body {
        Some(Body::QuotaQuestion(message)) => quotas::answer(shared, from, number, &message),
        Some(Body::QuotaAnswer(message)) => shared.quotas.deliver(number, message.answer()),
        Some(Body::EndReport(message)) => {
            poison::receive_end_report(shared, from, number, &message)
        }
        Some(Body::EndAcknowledged(hash)) => {
            poison::receive_acknowledgement(shared, from, hash);
        }
        Some(Body::Held(hash)) => poison::receive_held(shared, hash),
        Some(Body::Lifted(hash)) => poison::receive_lifted(shared, hash),
        Some(Body::Cleared(hash)) => poison::receive_cleared(shared, hash),
        Some(Body::Quarantine(message)) => poison::receive_quarantine(shared, from, &message),
        Some(Body::DemandReport(message)) => demand::receive_report(&**shared, from, &message),
        Some(Body::DemandSummary(message)) => demand::receive_summary(&**shared, from, &message),
        body => shared
            .admission
            .handle_slot_message(from, number, body, &shared.state),
    }
}

impl Admission {
    fn handle_slot_message(
        &self,
        from: SocketAddr,
        number: u64,
        body: Option<Body>,
        state: &Mutex<State>,
    ) {
        let request = |message: &RequestMessage| {
            let request = message.request(from, number);
            request
                .inspect_err(|error| log::debug!("invalid request for a slot from {from}: {error}"))
                .ok()
        };
        match body {
            Some(Body::Ask(message)) => {
                if let Some(request) = request(&message) {
                    self.answer_ask(&request, message.slots, state);
                }
            }
            Some(Body::Notify(message)) => {
                if let Some(request) = request(&message) {
                    self.coordinator.lock().record_ungranted(
                        &request,
                        message.slots,
                        self.clock.now(),
                    );
                }
            }
            Some(Body::End(is_served)) => {
                let ticket = Ticket {
                    requester: from,
                    number,
                };
                let ending = if is_served {
                    Ending::Served
                } else {
                    Ending::NotServed
                };
                self.with_coordinator(|own, now| own.end(ticket, ending, now));
            }
            Some(Body::Answer(message)) => self.deliver(number, message.answer()),
            _ => {
                log::debug!("a datagram from {from} has no known body");
            }
        }
    }
}
