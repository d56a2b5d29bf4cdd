//! The wait for a slot before a request is sent.

use super::placed::Placed;
use super::run::Run;
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

impl<'a, D: Dialect> Run<'a, D> {
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
    pub(super) async fn place(&mut self) -> Result<Placed<'a>, Reply> {
        loop {
            if Instant::now() >= self.ends_at {
                return Err(self.out_of_time());
            }
            let own = self.pick().map_err(|reason| self.no_upstream(reason))?;
            let mut admitted = self.admit(&own, self.patience()).await;
            if matches!(admitted, Admitted::Busy) {
                if let Some(placed) = self.second_choice(&own).await {
                    return Ok(placed);
                }
                if let Some(placed) = self.elsewhere().await {
                    return Ok(placed);
                }
                admitted = self.admit(&own, Patience::UntilDeadline).await;
            }
            match admitted {
                Admitted::Granted(slot) => return Ok(Placed { pick: own, slot }),
                Admitted::Refused { retry_after } => {
                    let elsewhere = self.elsewhere().await;
                    return elsewhere.ok_or_else(|| self.no_slot(&own, retry_after));
                }
                Admitted::Elsewhere | Admitted::Busy => {}
            }
        }
    }

    /// The first attempt goes elsewhere rather than be late; a later one has been
    /// elsewhere.
    fn patience(&self) -> Patience {
        if self.is_first_attempt() {
            Patience::WithinObjective
        } else {
            Patience::UntilDeadline
        }
    }

    /// Takes a slot of the upstream that comes after the object's own in the region, if
    /// one is free.
    ///
    /// Upstreams of other regions don't count in that order: in a region that keeps a third
    /// of its objects, two of three second choices would stand elsewhere, where no slot can
    /// be asked for. There 136 of a region's 153 refusals in nine seconds had such a second
    /// choice, while neighbours were idle; those who came back were then all of that region.
    async fn second_choice(&mut self, own: &Pick) -> Option<Placed<'a>> {
        let (end, placed) = self.try_second_choice(own).await;
        self.inputs.second_choice = end;
        metrics::counter!("foxtide_second_choices_total", "end" => end.as_str()).increment(1);
        placed
    }

    async fn try_second_choice(&mut self, own: &Pick) -> (SecondChoice, Option<Placed<'a>>) {
        let Ok(pick) = self.pick_neighbour(&own.registration.upstream) else {
            return (SecondChoice::Missing, None);
        };
        match self.admit(&pick, Patience::NoWait).await {
            Admitted::Granted(slot) => (SecondChoice::Granted, Some(Placed { pick, slot })),
            Admitted::Busy | Admitted::Refused { .. } | Admitted::Elsewhere => {
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
    async fn elsewhere(&mut self) -> Option<Placed<'a>> {
        // What has waited for long would be late there as well.
        if Instant::now() >= self.objective_at {
            return None;
        }
        let request = PickRequest {
            service: self.service,
            object: self.object,
            regions: &self.home_regions,
            tried: &self.tried,
            is_relief: true,
        };
        let pick = {
            let mut state = self.shared.state.lock();
            state.pick_elsewhere(&request)
        };
        let pick = pick.ok()?;
        match self.admit(&pick, Patience::NoWait).await {
            Admitted::Granted(slot) => {
                metrics::counter!("foxtide_overflows_total").increment(1);
                Some(Placed { pick, slot })
            }
            Admitted::Busy | Admitted::Refused { .. } | Admitted::Elsewhere => None,
        }
    }

    /// Waits until the request may be sent to the upstream that was picked.
    async fn admit(&mut self, pick: &Pick, patience: Patience) -> Admitted<'a> {
        let Some((instance, coordinator)) = self.coordinator(pick) else {
            return Admitted::Granted(None);
        };
        self.inputs.coordinator = instance.to_string();
        let began_at = Instant::now();
        let admitted = self.ask(pick, coordinator, patience).await;
        self.note_wait(&admitted, began_at.elapsed());
        // Drains, evacuations and the bound on cold upstreams hold at the sending.
        let is_granted = matches!(admitted, Admitted::Granted(_));
        if is_granted && !self.shared.state.lock().is_still_picked(pick) {
            return Admitted::Elsewhere;
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
            priority: self.order.priority(),
            objective_at: self.objective_at,
            ends_at: self.ends_at,
            patience,
        };
        // What a cold upstream may get was taken from its rate already.
        if !self.is_near(pick) || pick.is_cold {
            return Admitted::Granted(Some(admission.tell(coordinator, &terms)));
        }
        let is_eligible = || shared.state.lock().is_still_picked(pick);
        let asked = admission.ask(coordinator, &terms, is_eligible);
        let in_vain = async {
            let late = async {
                Timer::at(self.ends_at).await;
            };
            or(self.caller.left(), late).await;
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
            Admitted::Busy | Admitted::Refused { .. } | Admitted::Elsewhere => SlotAnswer::Refused,
        };
        self.inputs.slot = answer;
        self.inputs.slot_wait += wait;
        metrics::counter!("foxtide_slot_answers_total", "answer" => answer.as_str()).increment(1);
        if matches!(answer, SlotAnswer::Granted | SlotAnswer::Refused) {
            metrics::histogram!("foxtide_slot_wait_seconds").record(wait.as_secs_f64());
        }
    }
}
