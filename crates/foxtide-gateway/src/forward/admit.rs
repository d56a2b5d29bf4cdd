//! The wait for a slot before a request is sent.

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

/// When a caller is told to come back whose time passed while it waited.
const RETRY_AFTER_WAIT: Duration = Duration::from_millis(200);

impl<'a, D: Dialect> AttemptLoop<'a, D> {
    /// Picks an upstream and waits until the request may be sent to it.
    ///
    /// Where the object's own upstream would not serve it early, its second choice does
    /// if it has a slot free: the object is known there from then on, so that two
    /// upstreams share what is too much for one. That brings 0.01 to 0.04 of the worth
    /// of days of high load; a third choice in vain brought nothing more.
    ///
    /// # Errors
    ///
    /// Fails with the reply where there is no upstream for it in its time.
    pub(super) async fn acquire_target(&mut self) -> Result<Target<'a>, Reply> {
        loop {
            if Instant::now() >= self.deadline {
                return Err(self.out_of_time());
            }
            let own = self.pick().map_err(|reason| self.no_upstream(reason))?;
            let mut admitted = self.admit(&own, self.patience()).await;
            if matches!(admitted, Admitted::Busy) {
                if let Some(target) = self.second_choice(&own).await {
                    return Ok(target);
                }
                if let Some(target) = self.overflow().await {
                    return Ok(target);
                }
                admitted = self.admit(&own, Patience::ToTheEnd).await;
            }
            match admitted {
                Admitted::Granted(slot) => return Ok(Target { pick: own, slot }),
                Admitted::Refused { retry_after } => {
                    let overflow = self.overflow().await;
                    return overflow.ok_or_else(|| self.no_slot(&own, retry_after));
                }
                Admitted::PickAgain | Admitted::Busy => {}
            }
        }
    }

    /// The first attempt goes elsewhere rather than be late; a later one has been
    /// elsewhere.
    fn patience(&self) -> Patience {
        if self.is_first_attempt() {
            Patience::WhileEarly
        } else {
            Patience::ToTheEnd
        }
    }

    /// Takes a slot of the upstream that comes after the object's own in the region, if
    /// one is free.
    ///
    /// Upstreams of other regions don't count in that order: in a region that keeps a third
    /// of its objects, two of three second choices would stand elsewhere, where no slot can
    /// be asked for. There 136 of a region's 153 refusals in nine seconds had such a second
    /// choice, while neighbours were idle; those who came back were then all of that region.
    async fn second_choice(&mut self, own: &Pick) -> Option<Target<'a>> {
        let (end, target) = self.try_second_choice(own).await;
        self.trace.second_choice = end;
        metrics::counter!("foxtide_second_choices_total", "end" => end.as_str()).increment(1);
        target
    }

    async fn try_second_choice(&mut self, own: &Pick) -> (SecondChoice, Option<Target<'a>>) {
        let Ok(pick) = self.pick_neighbour(&own.registration.upstream) else {
            return (SecondChoice::Missing, None);
        };
        match self.admit(&pick, Patience::None).await {
            Admitted::Granted(slot) => (SecondChoice::Granted, Some(Target { pick, slot })),
            Admitted::Busy | Admitted::Refused { .. } | Admitted::PickAgain => {
                (SecondChoice::Busy, None)
            }
        }
    }

    /// Sends to another region what a region that is short of upstreams would serve late or
    /// not at all, as far as the instance may.
    ///
    /// Once no new requests came, what waited at such a region and what it had refused were
    /// nearly all served there: of its traffic 0.33 moved home within 2 s, on a whole day where
    /// 0.15 may. `docs/design/shifted.md` has what is left of that, and what it costs.
    async fn overflow(&mut self) -> Option<Target<'a>> {
        // What has waited for long would be late there as well.
        if Instant::now() >= self.objective_at {
            return None;
        }
        let request = PickRequest {
            service: self.service,
            object: self.object,
            regions: &self.home_regions,
            tried: &self.tried,
            requires_warm: true,
        };
        let pick = {
            let mut state = self.shared.state.lock();
            state.pick_overflow(&request)
        };
        let pick = pick.ok()?;
        match self.admit(&pick, Patience::None).await {
            Admitted::Granted(slot) => {
                metrics::counter!("foxtide_overflows_total").increment(1);
                Some(Target { pick, slot })
            }
            Admitted::Busy | Admitted::Refused { .. } | Admitted::PickAgain => None,
        }
    }

    /// Waits until the request may be sent to the upstream that was picked.
    async fn admit(&mut self, pick: &Pick, patience: Patience) -> Admitted<'a> {
        let Some((instance, coordinator)) = self.coordinator(pick) else {
            return Admitted::Granted(None);
        };
        self.trace.coordinator = instance.to_string();
        let began_at = Instant::now();
        let admitted = self.ask(pick, coordinator, patience).await;
        self.note_wait(&admitted, began_at.elapsed());
        // Drains, evacuations and the bound on cold upstreams hold at the sending.
        let is_granted = matches!(admitted, Admitted::Granted(_));
        if is_granted && !self.shared.state.lock().is_pick_valid(pick) {
            return Admitted::PickAgain;
        }
        admitted
    }

    /// Returns who coordinates the slots of the upstream.
    fn coordinator(&self, pick: &Pick) -> Option<(InstanceId, SocketAddr)> {
        let registration = &pick.registration;
        let state = self.shared.state.lock();
        let members = state.members();
        let member = members.coordinator(&registration.upstream, &registration.region)?;
        Some((member.instance.clone(), member.datagram_address))
    }

    /// Asks a coordinator that is near, and tells one that is far away: a slot that is
    /// kept for a request under way between regions is idle for 70 to 110 ms, which
    /// costs 0.02 to 0.2 of the worth of days of high load.
    async fn ask(&self, pick: &Pick, coordinator: SocketAddr, patience: Patience) -> Admitted<'a> {
        let shared = self.shared;
        let admission = &shared.admission;
        let terms = SlotTerms {
            registration: &pick.registration,
            object: self.object,
            priority: self.route_match.priority(),
            objective_at: self.objective_at,
            deadline: self.deadline,
            patience,
        };
        // What a cold upstream may get was taken from its rate already.
        if !self.is_near(pick) || pick.is_cold {
            return Admitted::Granted(Some(admission.notify(coordinator, &terms)));
        }
        let is_eligible = || shared.state.lock().is_pick_valid(pick);
        let asked = admission.ask(coordinator, &terms, is_eligible);
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

    fn is_near(&self, pick: &Pick) -> bool {
        pick.registration.region == self.shared.options.place.region
    }

    fn note_wait(&mut self, admitted: &Admitted<'_>, wait: Duration) {
        let answer = match admitted {
            Admitted::Granted(slot) => slot.as_ref().map_or(SlotAnswer::NotAsked, Slot::answer),
            Admitted::Busy | Admitted::Refused { .. } | Admitted::PickAgain => SlotAnswer::Refused,
        };
        self.trace.slot = answer;
        self.trace.slot_wait += wait;
        metrics::counter!("foxtide_slot_answers_total", "answer" => answer.as_str()).increment(1);
        if matches!(answer, SlotAnswer::Granted | SlotAnswer::Refused) {
            metrics::histogram!("foxtide_slot_wait_seconds").record(wait.as_secs_f64());
        }
    }
}
