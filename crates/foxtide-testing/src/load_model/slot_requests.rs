//! Slot requests from instances and the coordinators' answers.

use super::fleet::Fleet;
use super::outcome::Cause;
use super::request::{
    RequestId,
    Stage, //
};
use super::settings::{
    CoordinatorFaultKind,
    milliseconds, //
};
use super::simulation::{
    Event,
    Simulation, //
};
use foxtide_core::admission::{
    AddressedAnswer,
    Answer,
    Ending,
    Patience,
    SlotRequest,
    Ticket, //
};
use foxtide_core::placement::{
    ObjectKey,
    lacks_capacity, //
};
use foxtide_core::routing::RequestKind;
use std::time::Duration;

// Defaults of the gateway's settings.
const ANSWER_TIMEOUT_MS: f64 = 40.0;
const SLOT_REQUEST_PERIOD_MS: f64 = 150.0;

/// Returns the ticket of a request; request numbers are unique across instances.
fn ticket(id: RequestId) -> Ticket {
    Ticket {
        requester: Fleet::address(0),
        number: id.0,
    }
}

impl Simulation<'_> {
    /// Requests a slot from the upstream's coordinator, or sends at once without one.
    pub(super) fn request_slot(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.is_answered = false;
        let (requester, upstream, region) = (request.instance, request.upstream, request.region);
        let patience = match request.stage {
            Stage::FirstChoice => Patience::WithinObjective,
            Stage::SecondChoice => request.second_patience,
            Stage::UntilDeadline => Patience::UntilDeadline,
            Stage::Sent | Stage::Ended => return,
        };
        let coordinator = self.fleet.coordinator(requester, upstream);
        let (true, Some(coordinator)) = (self.settings.is_coordinated, coordinator) else {
            return self.send(id);
        };
        let is_local = self.fleet.is_local(region, upstream);
        let event = Event::SlotRequested {
            request: id,
            coordinator,
            patience,
            expects_answer: is_local,
        };
        self.after(self.delay(region, upstream), event);
        if is_local {
            self.after(milliseconds(ANSWER_TIMEOUT_MS), Event::AnswerTimeout(id));
            self.after(
                milliseconds(SLOT_REQUEST_PERIOD_MS),
                Event::RepeatSlotRequest(id),
            );
        } else {
            self.send(id);
        }
    }

    pub(super) fn repeat_slot_request(&mut self, id: RequestId) {
        let is_waiting = self.requests.get(&id).is_some_and(|request| {
            request.is_answered
                && matches!(request.stage, Stage::FirstChoice | Stage::UntilDeadline)
        });
        if is_waiting {
            self.request_slot(id);
        }
    }

    /// Sends a request whose coordinator did not answer, and reports it as ungranted.
    pub(super) fn answer_timeout(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_waiting = matches!(
            request.stage,
            Stage::FirstChoice | Stage::SecondChoice | Stage::UntilDeadline
        );
        if !is_waiting || request.is_answered {
            return;
        }
        let (requester, upstream, region) = (request.instance, request.upstream, request.region);
        if let Some(coordinator) = self.fleet.coordinator(requester, upstream) {
            let event = Event::SlotRequested {
                request: id,
                coordinator,
                patience: Patience::UntilDeadline,
                expects_answer: false,
            };
            self.after(self.delay(region, upstream), event);
        }
        self.send(id);
    }

    /// Delivers an event to a coordinator, subject to the coordinator's fault.
    pub(super) fn deliver(&mut self, coordinator: usize, event: Event) {
        match self.fleet.instances[coordinator].fault {
            Some(CoordinatorFaultKind::Killed) => {}
            Some(CoordinatorFaultKind::Paused) => self.undelivered.push((coordinator, event)),
            Some(CoordinatorFaultKind::Mute) => {
                drop(self.handle_at_coordinator(coordinator, event))
            }
            Some(CoordinatorFaultKind::DoublyBelieved) | None => {
                let answers = self.handle_at_coordinator(coordinator, event);
                self.send_answers(answers);
            }
        }
    }

    pub(super) fn handle_at_coordinator(
        &mut self,
        coordinator: usize,
        event: Event,
    ) -> Vec<AddressedAnswer> {
        let now = self.now;
        let slots = self.settings.slots;
        match event {
            Event::SlotRequested {
                request,
                patience,
                expects_answer,
                ..
            } => {
                let Some(slot_request) = self.slot_request(request, patience) else {
                    return Vec::new();
                };
                let node = &mut self.fleet.instances[coordinator].coordinator;
                if expects_answer {
                    return node.ask(&slot_request, slots, now);
                }
                node.record_ungranted(&slot_request, slots, now);
                Vec::new()
            }
            Event::Ended {
                request, ending, ..
            } => {
                let node = &mut self.fleet.instances[coordinator].coordinator;
                node.end(ticket(request), ending, now)
            }
            _ => Vec::new(),
        }
    }

    pub(super) fn slot_request(&self, id: RequestId, patience: Patience) -> Option<SlotRequest> {
        let request = self.requests.get(&id)?;
        let objective_at = request.arrived_at + self.settings.objective();
        let ends_at = request.arrived_at + self.settings.limit();
        Some(SlotRequest {
            ticket: ticket(id),
            upstream: self.fleet.upstream(request.upstream).clone(),
            born_at: None,
            kind: RequestKind::default(),
            organisation: None,
            organisation_rate: None,
            object: Some(ObjectKey::new(&request.object.to_le_bytes())),
            priority: 1,
            objective_left: objective_at.since(self.now),
            time_left: ends_at.since(self.now),
            patience,
            limit: None,
        })
    }

    pub(super) fn send_answers(&mut self, answers: Vec<AddressedAnswer>) {
        for (ticket, answer) in answers {
            let request = RequestId(ticket.number);
            self.after(
                self.settings.near_delay(),
                Event::Answered { request, answer },
            );
        }
    }

    pub(super) fn handle_answer(&mut self, id: RequestId, answer: Answer) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.is_answered = true;
        let stage = request.stage;
        if matches!(stage, Stage::Sent | Stage::Ended) {
            return;
        }
        match answer {
            Answer::Granted => self.send(id),
            Answer::Waiting => {}
            Answer::Busy { served_in } => self.handle_busy(id, served_in),
            // The model's upstreams state no rate limits.
            Answer::Throttled { .. } | Answer::NotCoordinator => {}
            Answer::Rejected { retry_after } => {
                if !self.overflow(id) {
                    self.end(id, Cause::RefusedNoSlot, retry_after);
                }
            }
        }
    }

    /// Requests a slot in another region within the overflow budget; returns whether it did.
    fn overflow(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        let region = request.region;
        let is_late = self.now >= request.arrived_at + self.settings.objective();
        if !self.settings.may_overflow || is_late || !lacks_capacity(self.fleet.own_share(region)) {
            return false;
        }
        let key = ObjectKey::new(&request.object.to_le_bytes());
        let elsewhere = self.fleet.remote_choices(region, key);
        let budget = &mut self.fleet.instances[request.instance].overflow;
        let Some(&upstream) = elsewhere.first().filter(|_| budget.try_spend(self.now)) else {
            return false;
        };
        request.upstream = upstream;
        request.stage = Stage::UntilDeadline;
        self.request_slot(id);
        true
    }

    /// Tries the second choice, then overflow, then waits for the first choice.
    pub(super) fn handle_busy(&mut self, id: RequestId, served_in: Option<Duration>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.stage == Stage::FirstChoice {
            let objective_at = request.arrived_at + self.settings.objective();
            let objective_left = objective_at.since(self.now);
            request.second_patience = Patience::at_second_choice(served_in, objective_left);
        }
        match (request.stage, request.second_choice) {
            (Stage::FirstChoice, Some(second_choice)) => {
                request.stage = Stage::SecondChoice;
                request.upstream = second_choice;
            }
            _ => {
                if self.overflow(id) {
                    return;
                }
                let Some(request) = self.requests.get_mut(&id) else {
                    return;
                };
                request.stage = Stage::UntilDeadline;
                request.upstream = request.order[0];
            }
        }
        self.request_slot(id);
    }

    pub(super) fn report_end(&mut self, id: RequestId, ending: Ending) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (requester, upstream, region) = (request.instance, request.upstream, request.region);
        if let Some(coordinator) = self.fleet.coordinator(requester, upstream) {
            let event = Event::Ended {
                request: id,
                coordinator,
                ending,
            };
            self.after(self.delay(region, upstream), event);
        }
    }
}
