//! Picks an upstream for a request and acquires a slot there.

use super::attempt_loop::AttemptLoop;
use super::target::Target;
use crate::admission::{
    Admitted,
    Slot,
    SlotAnswer,
    SlotTerms, //
};
use crate::dialect::Dialect;
use crate::outcome::{
    Reply,
    SecondChoice, //
};
use crate::state::{
    Pick,
    PickRequest, //
};
use foxtide_core::admission::Patience;
use foxtide_core::ids::InstanceId;
use futures_lite::future::or;
use smol::Timer;
use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

/// Retry-After of a request whose deadline passed while it waited for a slot.
const RETRY_AFTER_WAIT: Duration = Duration::from_millis(200);

/// Answer timeout of a coordinator in another region; the longest round trip is 110 ms.
const ANSWER_TIMEOUT_OTHER_REGION: Duration = Duration::from_millis(250);

/// Retry-After of a request to an upstream that limits its rate while no coordinator hands it
/// out; an instance that does not answer is not asked for that time.
const RETRY_AFTER_UNCOORDINATED: Duration = Duration::from_millis(500);

impl<'a, D: Dialect> AttemptLoop<'a, D> {
    /// Picks an upstream and waits for one of its slots.
    ///
    /// If the first choice of the object is busy, its second choice or another region with a
    /// free slot serves the request. A request that the first choice is expected to serve within
    /// the objective goes to the second choice only if it is in time there too. Otherwise it waits
    /// at the first choice until its deadline, also when newer requests delay it past its
    /// objective, since it is late everywhere by then.
    ///
    /// # Errors
    ///
    /// Fails with the reply if no upstream can take the request before its deadline.
    pub(super) async fn acquire_target(&mut self) -> Result<Target<'a>, Reply> {
        loop {
            if Instant::now() >= self.deadline {
                return Err(self.out_of_time());
            }
            let own = self.pick().map_err(|reason| self.no_upstream(reason))?;
            let mut admitted = self.admit(&own, self.patience()).await;
            if let Admitted::Busy { served_in } = admitted {
                let objective_left = self.objective_at.saturating_duration_since(Instant::now());
                let patience = Patience::at_second_choice(served_in, objective_left);
                if let Some(target) = self.second_choice(&own, patience).await {
                    return Ok(target);
                }
                if let Some(target) = self.overflow().await {
                    return Ok(target);
                }
                admitted = self.admit(&own, Patience::UntilDeadline).await;
            }
            match admitted {
                Admitted::Granted(slot) => return Ok(Target { pick: own, slot }),
                Admitted::Refused { retry_after } => {
                    let overflow = self.overflow().await;
                    return overflow.ok_or_else(|| self.no_slot(&own, retry_after));
                }
                Admitted::PickAgain
                | Admitted::Busy { .. }
                | Admitted::Throttled { .. }
                | Admitted::Uncoordinated => {}
            }
        }
    }

    /// Only the first attempt leaves a busy upstream early; a retry waits until its deadline.
    fn patience(&self) -> Patience {
        if self.is_first_attempt() {
            Patience::WithinObjective
        } else {
            Patience::UntilDeadline
        }
    }

    /// Takes a free slot of the next upstream of the same region in the object's order.
    ///
    /// Upstreams of other regions are skipped: the request may be bound to its region, and where a
    /// region keeps few of its objects they would be most of the second choices.
    async fn second_choice(&mut self, own: &Pick, patience: Patience) -> Option<Target<'a>> {
        let (end, target) = self.try_second_choice(own, patience).await;
        self.trace.second_choice = end;
        metrics::counter!("foxtide_second_choices_total", "end" => end.as_str()).increment(1);
        target
    }

    async fn try_second_choice(
        &mut self,
        own: &Pick,
        patience: Patience,
    ) -> (SecondChoice, Option<Target<'a>>) {
        let Ok(pick) = self.pick_neighbour(own) else {
            return (SecondChoice::Missing, None);
        };
        match self.admit(&pick, patience).await {
            Admitted::Granted(slot) if patience == Patience::NoWait || is_granted(&slot) => {
                (SecondChoice::Granted, Some(Target { pick, slot }))
            }
            _ => (SecondChoice::Busy, None),
        }
    }

    /// Sends the request to another region if the own one is short of upstreams, within the
    /// instance's overflow budget.
    async fn overflow(&mut self) -> Option<Target<'a>> {
        // Past its objective the request would be late in any region.
        if Instant::now() >= self.objective_at {
            return None;
        }
        let request = PickRequest {
            service: self.service,
            object: self.object,
            regions: &self.homes.regions,
            tried: &self.tried,
            throttled: &self.throttled,
            requires_warm: true,
        };
        let pick = {
            let mut state = self.shared.state.lock();
            state.pick_overflow(&request)
        };
        let pick = pick.ok()?;
        match self.admit(&pick, Patience::NoWait).await {
            Admitted::Granted(slot) => {
                metrics::counter!("foxtide_overflows_total").increment(1);
                Some(Target { pick, slot })
            }
            _ => None,
        }
    }

    /// Acquires a slot of the picked upstream and checks the pick again.
    pub(super) async fn admit(&mut self, pick: &Pick, patience: Patience) -> Admitted<'a> {
        let coordinator = self.coordinator(pick);
        let began_at = Instant::now();
        let asked = match &coordinator {
            Some((instance, address)) => {
                self.trace.coordinator = instance.to_string();
                self.ask(pick, *address, patience).await
            }
            None => Admitted::Uncoordinated,
        };
        let admitted = match asked {
            Admitted::Uncoordinated => {
                let address = coordinator.map(|(_, address)| address);
                self.admit_uncoordinated(pick, address)
            }
            asked => asked,
        };
        self.record_wait(&admitted, began_at.elapsed());
        if let Admitted::Throttled { retry_after } = admitted {
            self.record_throttled(pick, retry_after);
        }
        // The upstream may have been drained, evacuated or restarted during the wait.
        let is_granted = matches!(admitted, Admitted::Granted(_));
        if is_granted && !self.shared.state.lock().is_pick_valid(pick) {
            return Admitted::PickAgain;
        }
        admitted
    }

    /// Admits a request without a coordinator, within this instance's part of the upstream's
    /// rate limit.
    fn admit_uncoordinated(&self, pick: &Pick, coordinator: Option<SocketAddr>) -> Admitted<'a> {
        let shared = self.shared;
        if !shared.state.lock().try_take_uncoordinated(pick) {
            return Admitted::Throttled {
                retry_after: RETRY_AFTER_UNCOORDINATED,
            };
        }
        let notify = |address| {
            let terms = self.slot_terms(pick, Patience::NoWait);
            shared.admission.notify(address, &terms)
        };
        Admitted::Granted(coordinator.map(notify))
    }

    /// Excludes a throttled upstream from further picks.
    fn record_throttled(&mut self, pick: &Pick, retry_after: Duration) {
        let upstream = &pick.registration.upstream;
        let report = {
            let mut state = self.shared.state.lock();
            state.set_exhausted(upstream, retry_after);
            state.limit_report(&pick.registration)
        };
        let journal = &self.shared.journal;
        journal.request_throttled(&self.trace, upstream, report, retry_after);
        self.throttled.push(upstream.clone());
    }

    /// Returns the instance that coordinates the upstream's slots, with its datagram address.
    fn coordinator(&self, pick: &Pick) -> Option<(InstanceId, SocketAddr)> {
        let registration = &pick.registration;
        let state = self.shared.state.lock();
        let members = state.members();
        let member = members.coordinator(&registration.upstream, &registration.region)?;
        Some((member.instance.clone(), member.datagram_address))
    }

    /// Asks a coordinator of the own region, and only notifies one of another region: a slot
    /// that is reserved for a request in transit would idle for a round trip. The rate of an
    /// upstream that limits it is always asked for.
    async fn ask(&self, pick: &Pick, coordinator: SocketAddr, patience: Patience) -> Admitted<'a> {
        let shared = self.shared;
        let admission = &shared.admission;
        let terms = self.slot_terms(pick, patience);
        // The pick has already spent a cold upstream's rate.
        let is_asked = self.is_near(pick) && !pick.is_cold;
        if !is_asked && !terms.is_limited() {
            return Admitted::Granted(Some(admission.notify(coordinator, &terms)));
        }
        let asked = admission.ask(coordinator, &terms, pick, &shared.state);
        let in_vain = async {
            let late = async {
                Timer::at(self.deadline).await;
            };
            or(self.caller.disconnected(), late).await;
            Admitted::Refused {
                retry_after: RETRY_AFTER_WAIT,
            }
        };
        or(asked, in_vain).await
    }

    fn slot_terms<'b>(&'b self, pick: &'b Pick, patience: Patience) -> SlotTerms<'b> {
        let registration = &*pick.registration;
        let organisation = self.route_match.caller.organisation();
        let (limit, latency) = {
            let state = self.shared.state.lock();
            let latency = state.latency(&registration.upstream);
            (state.limit_report(registration), latency)
        };
        SlotTerms {
            registration,
            kind: self.route.kind(),
            organisation,
            object: self.object,
            priority: self.route_match.priority(),
            objective_at: self.objective_at,
            deadline: self.deadline,
            patience,
            lifecycle: &self.shared.lifecycle,
            response_time: latency.unwrap_or_default(),
            limit,
            answer_time: if self.is_near(pick) {
                self.shared.admission.answer_time()
            } else {
                ANSWER_TIMEOUT_OTHER_REGION
            },
        }
    }

    pub(super) fn is_near(&self, pick: &Pick) -> bool {
        pick.registration.region == self.shared.options.place.region
    }

    fn record_wait(&mut self, admitted: &Admitted<'_>, wait: Duration) {
        let answer = match admitted {
            Admitted::Granted(slot) => slot.as_ref().map_or(SlotAnswer::NotAsked, Slot::answer),
            Admitted::Throttled { .. } => SlotAnswer::Throttled,
            _ => SlotAnswer::Refused,
        };
        self.trace.slot = answer;
        self.trace.slot_wait += wait;
        metrics::counter!("foxtide_slot_answers_total", "answer" => answer.as_str()).increment(1);
        if matches!(answer, SlotAnswer::Granted | SlotAnswer::Refused) {
            metrics::histogram!("foxtide_slot_wait_seconds").record(wait.as_secs_f64());
        }
    }
}

/// Returns whether a coordinator granted the slot, rather than was notified or did not answer.
fn is_granted(slot: &Option<Slot<'_>>) -> bool {
    let answer = slot.as_ref().map(Slot::answer);
    answer == Some(SlotAnswer::Granted)
}
