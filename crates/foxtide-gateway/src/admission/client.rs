//! Asks for a slot and holds it until the request has ended.

use super::Admission;
use crate::datagram::Datagram;
use foxtide_core::admission::{
    Answer,
    Ending,
    Patience,
    SlotRequest,
    Ticket, //
};
use foxtide_core::placement::ObjectKey;
use foxtide_core::registry::Registration;
use futures_lite::future::or;
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

/// How often one that waits asks again: a lost answer costs no more than this, and
/// the coordinator looks then whether anything has lapsed.
const ASK_AGAIN_PERIOD: Duration = Duration::from_millis(150);

/// Answers that may lie unread: one of each kind.
const ANSWERS_MAX: usize = 4;

/// What a request that asks for a slot brings.
#[derive(Clone, Debug)]
pub(crate) struct SlotTerms<'a> {
    /// The upstream.
    pub(crate) registration: &'a Registration,
    /// The object that it concerns, if it does any.
    pub(crate) object: Option<ObjectKey>,
    /// Its rank; 0 is the highest.
    pub(crate) priority: u32,
    /// When its latency objective passes.
    pub(crate) objective_at: Instant,
    /// When its caller's or its route's limit passes.
    pub(crate) ends_at: Instant,
    /// How long it is ready to wait.
    pub(crate) patience: Patience,
}

/// Whether a request may be sent.
#[derive(Debug)]
pub(crate) enum Admitted<'a> {
    /// It may, and holds the slot until this is dropped; nothing where no coordinator
    /// knows of it.
    Granted(Option<Slot<'a>>),
    /// It would have to wait for longer than it is ready to.
    Busy,
    /// It cannot be served in its time.
    Refused {
        /// When room is expected.
        retry_after: Duration,
    },
    /// The upstream takes no requests any more: another is to be picked.
    Elsewhere,
}

/// How a request came to be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum SlotAnswer {
    /// Nobody was asked: there is no coordinator.
    #[default]
    NotAsked,
    /// The coordinator was told: it is far away, or the upstream is cold.
    Told,
    /// The coordinator granted a slot.
    Granted,
    /// The coordinator did not answer.
    Unanswered,
    /// The coordinator refused one, or would have had it wait for too long.
    Refused,
}

impl SlotAnswer {
    /// Returns the answer as it stands in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotAsked => "not_asked",
            Self::Told => "told",
            Self::Granted => "granted",
            Self::Unanswered => "unanswered",
            Self::Refused => "refused",
        }
    }
}

/// A request that a coordinator knows of, until it is dropped.
#[derive(Debug)]
pub(crate) struct Slot<'a> {
    admission: &'a Admission,
    coordinator: SocketAddr,
    number: u64,
    answer: SlotAnswer,
    ending: Ending,
}

impl Slot<'_> {
    /// Returns how the request came to be sent.
    pub(crate) fn answer(&self) -> SlotAnswer {
        self.answer
    }

    /// Notes that the upstream served the request.
    pub(crate) fn served(&mut self) {
        self.ending = Ending::Served;
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let admission = self.admission;
        admission.pending.lock().remove(&self.number);
        let (number, ending) = (self.number, self.ending);
        if self.coordinator == admission.address {
            let requester = admission.address;
            let ticket = Ticket { requester, number };
            admission.coordinate(|own, now| own.end(ticket, ending, now));
        } else {
            admission.send(self.coordinator, &Datagram::end(number, ending));
        }
    }
}

impl Admission {
    /// Tells a coordinator of a request that is sent without asking.
    pub(crate) fn tell(&self, coordinator: SocketAddr, terms: &SlotTerms<'_>) -> Slot<'_> {
        let slot = self.slot(coordinator);
        let request = self.request(slot.number, terms);
        self.send_tell(coordinator, &request, terms);
        slot
    }

    /// Asks a coordinator for a slot and waits for it.
    ///
    /// A coordinator that does not answer is passed over: the request is sent.
    pub(crate) async fn ask(
        &self,
        coordinator: SocketAddr,
        terms: &SlotTerms<'_>,
        is_eligible: impl Fn() -> bool,
    ) -> Admitted<'_> {
        if self.is_silent(coordinator) {
            return Admitted::Granted(Some(self.tell(coordinator, terms)));
        }
        let mut slot = self.slot(coordinator);
        let (answered, answers) = bounded(ANSWERS_MAX);
        self.pending.lock().insert(slot.number, answered);
        loop {
            let request = self.request(slot.number, terms);
            self.send_ask(coordinator, &request, terms);
            match self.answer_to(&answers).await {
                Some(Answer::Granted) => {
                    slot.answer = SlotAnswer::Granted;
                    return Admitted::Granted(Some(slot));
                }
                Some(Answer::Busy) => return Admitted::Busy,
                Some(Answer::Refused { retry_after }) => return Admitted::Refused { retry_after },
                Some(Answer::Waiting) if is_eligible() => {}
                Some(Answer::Waiting) => return Admitted::Elsewhere,
                None => {
                    self.note_silent(coordinator);
                    slot.answer = SlotAnswer::Unanswered;
                    let request = self.request(slot.number, terms);
                    self.send_tell(coordinator, &request, terms);
                    return Admitted::Granted(Some(slot));
                }
            }
        }
    }

    /// Returns the answer to a question; nothing where none came in time.
    async fn answer_to(&self, answers: &Receiver<Answer>) -> Option<Answer> {
        let answer = within(self.options.answer_time, answers).await?;
        if answer != Answer::Waiting {
            return Some(answer);
        }
        Some(within(ASK_AGAIN_PERIOD, answers).await.unwrap_or(answer))
    }

    fn slot(&self, coordinator: SocketAddr) -> Slot<'_> {
        Slot {
            admission: self,
            coordinator,
            number: self.number(),
            answer: SlotAnswer::Told,
            ending: Ending::NotServed,
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
            object: terms.object,
            priority: terms.priority,
            objective_left: terms.objective_at.saturating_duration_since(now),
            time_left: terms.ends_at.saturating_duration_since(now),
            patience: terms.patience,
        }
    }

    fn send_ask(&self, coordinator: SocketAddr, request: &SlotRequest, terms: &SlotTerms<'_>) {
        let slots = terms.registration.slots;
        if coordinator == self.address {
            self.coordinate(|own, now| own.ask(request, slots, now));
        } else {
            self.send(coordinator, &Datagram::ask(request, slots));
        }
    }

    fn send_tell(&self, coordinator: SocketAddr, request: &SlotRequest, terms: &SlotTerms<'_>) {
        let slots = terms.registration.slots;
        if coordinator == self.address {
            let now = self.clock.now();
            self.coordinator
                .lock()
                .record_ungranted(request, slots, now);
        } else {
            self.send(coordinator, &Datagram::tell(request, slots));
        }
    }
}

async fn within(time: Duration, answers: &Receiver<Answer>) -> Option<Answer> {
    let late = async {
        Timer::after(time).await;
        None
    };
    or(async { answers.recv().await.ok() }, late).await
}
