//! Answers the questions of other instances.

use super::Admission;
use super::messages::{
    Body,
    Datagram,
    RequestMessage, //
};
use foxtide_core::admission::{
    Ending,
    Ticket, //
};
use prost::Message;
use smol::Timer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The longest datagram: a name of 63 bytes and a few numbers.
const DATAGRAM_MAX_BYTES: usize = 512;

/// How long receiving pauses after a failure.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

/// Takes in datagrams for as long as the future is run.
pub(crate) async fn serve_admission(admission: Arc<Admission>) {
    let mut bytes = [0; DATAGRAM_MAX_BYTES];
    loop {
        match admission.socket.recv_from(&mut bytes).await {
            Ok((size_bytes, from)) => match Datagram::decode(&bytes[..size_bytes]) {
                Ok(datagram) => admission.take_in(from, datagram),
                Err(error) => log::debug!("a datagram of {from} cannot be read: {error}"),
            },
            Err(error) => {
                log::debug!("no datagram was received: {error}");
                Timer::after(RECEIVE_PAUSE).await;
            }
        }
    }
}

impl Admission {
    fn take_in(&self, from: SocketAddr, datagram: Datagram) {
        let number = datagram.number;
        let request = |message: &RequestMessage| {
            let request = message.request(from, number);
            request
                .inspect_err(|error| log::debug!("a question of {from} is wrong: {error}"))
                .ok()
        };
        match datagram.body {
            Some(Body::Ask(message)) => {
                if let Some(request) = request(&message) {
                    self.coordinate(|own, now| own.ask(&request, message.slots, now));
                }
            }
            Some(Body::Tell(message)) => {
                if let Some(request) = request(&message) {
                    self.coordinator
                        .lock()
                        .tell(&request, message.slots, self.clock.now());
                }
            }
            Some(Body::End(is_served)) => {
                let ticket = Ticket {
                    asker: from,
                    number,
                };
                let ending = if is_served {
                    Ending::Served
                } else {
                    Ending::NotServed
                };
                self.coordinate(|own, now| own.end(ticket, ending, now));
            }
            Some(Body::Answer(message)) => self.deliver(number, message.answer()),
            None => log::debug!("a datagram of {from} says nothing"),
        }
    }
}
