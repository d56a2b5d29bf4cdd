//! Asks a coordinator for a slot and holds it until the request has ended.

use super::Admission;
use crate::datagram::Datagram;
use crate::lifecycle::Lifecycle;
use crate::state::{
    Pick,
    State, //
};
use foxtide_core::admission::{
    Answer,
    EndReport,
    Ending,
    Patience,
    SlotRequest,
    Ticket, //
};
use foxtide_core::placement::{
    ObjectKey,
    Slowness, //
};
use foxtide_core::registry::Registration;
use foxtide_core::routing::{
    OrganisationTerms,
    RequestKind, //
};
use foxtide_core::throttle::LimitReport;
use foxtide_core::units::RequestRate;
use futures_lite::future::or;
use parking_lot::Mutex;
use smol::Timer;
use smol::channel::{
    Receiver,
    bounded, //
};
use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

/// How often a waiting request repeats its question, which replaces lost answers and lets the
/// coordinator expire lapsed grants.
const ASK_AGAIN_PERIOD: Duration = Duration::from_millis(150);

/// How often a coordinator is asked for a request to an upstream that limits its rate: single
/// datagrams are lost.
const LIMITED_ASKS_MAX: u32 = 2;

/// The capacity for unread answers: one of each kind.
const ANSWERS_MAX: usize = 4;

/// The properties of a request that asks for a slot.
#[derive(Clone, Debug)]
pub(crate) struct SlotTerms<'a> {
    pub(crate) registration: &'a Registration,
    /// The kind of the request.
    pub(crate) kind: RequestKind,
    /// The organisation of its caller, if it is known.
    pub(crate) organisation: Option<&'a OrganisationTerms>,
    /// The object that it concerns, if any.
    pub(crate) object: Option<ObjectKey>,
    /// Its priority; 0 is the highest.
    pub(crate) priority: u32,
    /// When its latency objective passes.
    pub(crate) objective_at: Instant,
    /// The earlier of the time limits of its caller and its route.
    pub(crate) deadline: Instant,
    /// The stop of the instance, which may leave it less time than its deadline.
    pub(crate) lifecycle: &'a Lifecycle,
    /// The recent latency of the upstream; zero if it is unknown.
    pub(crate) response_time: Duration,
    /// How long it may wait.
    pub(crate) patience: Patience,
    /// What is known of the upstream's rate limit.
    pub(crate) limit: Option<LimitReport>,
    /// How long the coordinator may take to answer while its round-trip time is not known.
    pub(crate) answer_time: Duration,
}

impl SlotTerms<'_> {
    /// Tells whether the upstream limits its rate.
    pub(crate) fn is_limited(&self) -> bool {
        self.limit.is_some_and(|report| report.limit.is_some())
    }

    /// Returns the time in which the request has to be served.
    fn time_left(&self, now: Instant) -> Duration {
        let served_by = self.lifecycle.served_by(self.deadline, self.response_time);
        served_by.saturating_duration_since(now)
    }
}

/// The result of asking for a slot.
#[derive(Debug)]
pub(crate) enum Admitted<'a> {
    /// The request may be sent; `None` if no coordinator knows of it.
    Granted(Option<Slot<'a>>),
    /// The wait would be longer than the request may wait.
    Busy {
        /// The time after which the upstream is expected to have served it, if it is known.
        served_in: Option<Duration>,
    },
    /// It cannot be served before its deadline.
    Refused {
        /// When a slot is expected to be free.
        retry_after: Duration,
    },
    /// The upstream takes no more requests; another one has to be picked.
    PickAgain,
    /// The upstream's rate limit is exhausted.
    Throttled {
        /// When the limit allows another request.
        retry_after: Duration,
    },
    /// The upstream limits its rate, and no coordinator hands it out.
    Uncoordinated,
}

/// How a coordinator answered a request for a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum SlotAnswer {
    /// There is no coordinator.
    #[default]
    NotAsked,
    /// The coordinator was only notified: it is in another region, or the upstream is cold.
    Notified,
    /// The coordinator granted a slot.
    Granted,
    /// The coordinator did not answer.
    Unanswered,
    /// The coordinator was not asked, since it recently did not answer.
    Skipped,
    /// The coordinator refused a slot, or the wait would be too long.
    Refused,
    /// The upstream's rate limit was exhausted.
    Throttled,
}

impl SlotAnswer {
    /// Returns the label for logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotAsked => "not_asked",
            Self::Notified => "told",
            Self::Granted => "granted",
            Self::Unanswered => "unanswered",
            Self::Skipped => "skipped",
            Self::Refused => "refused",
            Self::Throttled => "throttled",
        }
    }
}

/// A request that its coordinator knows of; dropping this ends it there.
#[derive(Debug)]
pub(crate) struct Slot<'a> {
    admission: &'a Admission,
    coordinator: SocketAddr,
    number: u64,
    answer: SlotAnswer,
    end: EndReport,
}

impl Slot<'_> {
    /// Returns the coordinator's answer.
    pub(crate) fn answer(&self) -> SlotAnswer {
        self.answer
    }

    /// Records that the upstream served the request.
    pub(crate) fn served(&mut self) {
        self.end.ending = Ending::Served;
    }

    /// Records the slowness that the upstream reported, if any.
    pub(crate) fn record_slowness(&mut self, slowness: Option<Slowness>) {
        self.end.slowness = slowness;
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let admission = self.admission;
        admission.pending.lock().remove(&self.number);
        admission.end_ask(self.number);
        let (number, end) = (self.number, self.end);
        if self.coordinator == admission.address {
            let requester = admission.address;
            let ticket = Ticket { requester, number };
            admission.with_coordinator(|own, now| own.end(ticket, end, now));
        } else {
            admission.send(self.coordinator, &Datagram::end(number, end));
        }
    }
}

impl Admission {
    /// Notifies a coordinator of a request that is sent without asking.
    pub(crate) fn notify(&self, coordinator: SocketAddr, terms: &SlotTerms<'_>) -> Slot<'_> {
        let slot = self.slot(coordinator);
        let request = self.request(slot.number, terms);
        self.send_notice(coordinator, &request, terms);
        slot
    }

    /// Asks a coordinator for a slot and waits for it.
    ///
    /// If the coordinator does not answer, the request is sent all the same, unless the upstream
    /// limits its rate.
    pub(crate) async fn ask(
        &self,
        coordinator: SocketAddr,
        terms: &SlotTerms<'_>,
        pick: &Pick,
        state: &Mutex<State>,
    ) -> Admitted<'_> {
        if self.is_skipped(coordinator) {
            return self.admit_unasked(coordinator, terms, SlotAnswer::Skipped);
        }
        let mut slot = self.slot(coordinator);
        let (answered, answers) = bounded(ANSWERS_MAX);
        self.pending.lock().insert(slot.number, answered);
        let mut unanswered_asks = 0;
        loop {
            let request = self.request(slot.number, terms);
            self.send_ask(coordinator, &request, terms, state);
            let timeout = self.timeout(coordinator, terms.answer_time);
            match self.receive_answer(&answers, timeout).await {
                Some(Answer::Granted) => {
                    slot.answer = SlotAnswer::Granted;
                    return Admitted::Granted(Some(slot));
                }
                Some(Answer::Busy { served_in }) => return Admitted::Busy { served_in },
                Some(Answer::Rejected { retry_after }) => return Admitted::Refused { retry_after },
                Some(Answer::Throttled { retry_after }) => {
                    return Admitted::Throttled { retry_after };
                }
                Some(Answer::NotCoordinator) => return Admitted::Uncoordinated,
                Some(Answer::Waiting) if state.lock().is_pick_valid(pick) => {}
                Some(Answer::Waiting) => return Admitted::PickAgain,
                None => {
                    self.record_timeout(slot.number);
                    unanswered_asks += 1;
                    if !terms.is_limited() || unanswered_asks >= LIMITED_ASKS_MAX {
                        return self.admit_unasked(coordinator, terms, SlotAnswer::Unanswered);
                    }
                }
            }
        }
    }

    /// Returns the outcome for a request whose coordinator does not answer or is skipped.
    fn admit_unasked(
        &self,
        coordinator: SocketAddr,
        terms: &SlotTerms<'_>,
        answer: SlotAnswer,
    ) -> Admitted<'_> {
        if terms.is_limited() {
            return Admitted::Uncoordinated;
        }
        let mut slot = self.notify(coordinator, terms);
        slot.answer = answer;
        Admitted::Granted(Some(slot))
    }

    /// Returns the answer to a question; `None` after a timeout.
    async fn receive_answer(
        &self,
        answers: &Receiver<Answer>,
        timeout: Duration,
    ) -> Option<Answer> {
        let answer = receive_within(timeout, answers).await?;
        if answer != Answer::Waiting {
            return Some(answer);
        }
        Some(
            receive_within(ASK_AGAIN_PERIOD, answers)
                .await
                .unwrap_or(answer),
        )
    }

    fn slot(&self, coordinator: SocketAddr) -> Slot<'_> {
        Slot {
            admission: self,
            coordinator,
            number: self.next_datagram_number(),
            answer: SlotAnswer::Notified,
            end: Ending::NotServed.into(),
        }
    }

    fn request(&self, number: u64, terms: &SlotTerms<'_>) -> SlotRequest {
        let now = Instant::now();
        SlotRequest {
            ticket: Ticket {
                requester: self.address,
                number,
            },
            upstream: terms.registration.upstream.clone(),
            born_at: terms.registration.born_at,
            kind: terms.kind,
            organisation: terms.organisation.map(|terms| terms.organisation.clone()),
            organisation_rate: organisation_rate(terms.organisation),
            object: terms.object,
            priority: terms.priority,
            objective_left: terms.objective_at.saturating_duration_since(now),
            time_left: terms.time_left(now),
            patience: terms.patience,
            limit: terms.limit,
        }
    }

    fn send_ask(
        &self,
        coordinator: SocketAddr,
        request: &SlotRequest,
        terms: &SlotTerms<'_>,
        state: &Mutex<State>,
    ) {
        let slots = terms.registration.slots;
        if coordinator == self.address {
            self.answer_ask(request, slots, state);
        } else {
            self.record_ask(request.ticket.number, coordinator);
            self.send(coordinator, &Datagram::ask(request, slots));
        }
    }

    fn send_notice(&self, coordinator: SocketAddr, request: &SlotRequest, terms: &SlotTerms<'_>) {
        let slots = terms.registration.slots;
        if coordinator == self.address {
            let now = self.clock.now();
            self.coordinator
                .lock()
                .record_ungranted(request, slots, now);
        } else {
            self.send(coordinator, &Datagram::notify(request, slots));
        }
    }
}

/// Returns the rate that was sold to an organisation, if it is limited.
fn organisation_rate(organisation: Option<&OrganisationTerms>) -> Option<RequestRate> {
    Some(organisation?.quota?.rate)
}

async fn receive_within(time: Duration, answers: &Receiver<Answer>) -> Option<Answer> {
    let late = async {
        Timer::after(time).await;
        None
    };
    or(async { answers.recv().await.ok() }, late).await
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::options::AdmissionOptions;
    use foxtide_clock::SteadyClock;
    use prost::Message;
    use std::net::UdpSocket;
    use std::sync::Arc;

    /// The figure must reach the coordinator of another instance, also if the request failed.
    #[test]
    fn verify_the_end_of_a_slot_tells_the_slowness() {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let coordinator = UdpSocket::bind(any_port).unwrap();
        let (options, clock) = (AdmissionOptions::default(), SteadyClock::default());
        let admission = Admission::bind(any_port, options, clock, Arc::default()).unwrap();
        let mut slot = admission.slot(coordinator.local_addr().unwrap());
        slot.record_slowness(Slowness::from_percent(250.0).ok());
        let sent = slot.end;
        drop(slot);
        let mut bytes = [0; 512];
        let size_bytes = coordinator.recv(&mut bytes).unwrap();
        let datagram = Datagram::decode(&bytes[..size_bytes]).unwrap();
        assert_eq!(datagram, Datagram::end(datagram.number, sent));
    }
}
