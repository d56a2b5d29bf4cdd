//! Asks the coordinators of an organisation's quota, and answers as one.
//!
//! Locks: of those of [`Quotas`] none is taken while another is held. `last_contact` may be taken
//! while the state is held, never the other way round.

mod answer;
mod ask;

pub(crate) use answer::answer;
pub(crate) use ask::take_token;

use crate::dialect::Dialect;
use crate::journal::beliefs;
use crate::shared::Shared;
use crate::state::State;
use foxtide_core::ids::OrganisationId;
use foxtide_core::quota::{
    QuotaAnswer,
    QuotaCoordinator,
    QuotaParts,
    QuotaStock,
    SpareTokens, //
};
use foxtide_core::routing::{
    OrganisationTerms,
    Quota, //
};
use foxtide_core::time::MonotonicTime;
use parking_lot::Mutex;
use smol::channel::Sender;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long ago an instance may have been heard that counts as in touch with this one.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long what an organisation needed is remembered.
const LOCAL_TOKENS_TTL: Duration = Duration::from_secs(30);

/// How often a line tells that an organisation's quota is used up.
const LOG_PERIOD: Duration = Duration::from_secs(5);

/// Why a request is over its organisation's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaCause {
    /// Every part of the quota is used up.
    UsedUp,
    /// Some coordinators do not answer, and the others have no token.
    CoordinatorSilent,
}

impl QuotaCause {
    /// Returns the cause as it stands in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::UsedUp => "used_up",
            Self::CoordinatorSilent => "coordinator_silent",
        }
    }
}

/// The quota has no room for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QuotaRefusal {
    /// When it has.
    pub(crate) retry_after: Duration,
    /// Why.
    pub(crate) cause: QuotaCause,
}

/// What an instance hands out of quotas and what it holds of them.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    coordinator: Mutex<QuotaCoordinator>,
    local_tokens: Mutex<HashMap<OrganisationId, QuotaStock>>,
    spare: Mutex<SpareTokens>,
    /// Questions that wait for an answer, by their numbers.
    pending: Mutex<HashMap<u64, Sender<QuotaAnswer>>>,
    /// When other instances last sent a datagram.
    last_contact: Mutex<HashMap<SocketAddr, MonotonicTime>>,
    /// Coordinators of other regions that had no token for an organisation, until when
    /// they are not asked, and what they told.
    recent_refusals: Mutex<HashMap<(OrganisationId, SocketAddr), (MonotonicTime, Duration)>>,
    /// When a line last told that an organisation's quota is used up.
    last_logged: Mutex<HashMap<OrganisationId, MonotonicTime>>,
}

impl Quotas {
    /// Notes that another instance sent a datagram.
    pub(crate) fn note_contact(&self, from: SocketAddr, now: MonotonicTime) {
        self.last_contact.lock().insert(from, now);
    }

    /// Hands an answer to the question that waits for it, if it still does.
    pub(crate) fn deliver(&self, number: u64, answer: QuotaAnswer) {
        if let Some(waiting) = self.pending.lock().get(&number)
            && waiting.try_send(answer).is_err()
        {
            log::debug!("answer {number} came after its question had ended");
        }
    }

    /// Forgets what is not needed any more.
    pub(crate) fn prune(&self, now: MonotonicTime) {
        self.coordinator.lock().prune(now);
        self.spare.lock().prune(now);
        self.local_tokens
            .lock()
            .retain(|_, tokens| !tokens.is_unused(LOCAL_TOKENS_TTL, now));
        self.last_contact
            .lock()
            .retain(|_, contact_at| now - *contact_at < CONTACT_TIMEOUT);
        self.recent_refusals
            .lock()
            .retain(|_, (until, _)| now < *until);
        self.last_logged
            .lock()
            .retain(|_, logged_at| now - *logged_at < LOG_PERIOD);
    }

    /// Notes a refusal; writes a line where none did of late.
    pub(crate) fn note_refusal(
        &self,
        terms: &OrganisationTerms,
        refusal: &QuotaRefusal,
        now: MonotonicTime,
    ) {
        metrics::counter!("foxtide_quota_refusals_total", "cause" => refusal.cause.as_str())
            .increment(1);
        let mut last_logged = self.last_logged.lock();
        let logged_at = last_logged.get(&terms.organisation);
        if logged_at.is_none_or(|&logged_at| now - logged_at >= LOG_PERIOD) {
            last_logged.insert(terms.organisation.clone(), now);
            beliefs::quota_reached(terms, refusal);
        }
    }

    /// Returns what a coordinator told that had no token a moment ago.
    fn recent_refusal(
        &self,
        organisation: &OrganisationId,
        coordinator: SocketAddr,
        now: MonotonicTime,
    ) -> Option<Duration> {
        let recent_refusals = self.recent_refusals.lock();
        let (until, retry_after) = recent_refusals.get(&(organisation.clone(), coordinator))?;
        (now < *until).then_some(*retry_after)
    }

    /// Tells whether more than half of the region's instances, this one among them, were
    /// heard of late.
    fn reaches_region_majority(&self, neighbours: &[SocketAddr], now: MonotonicTime) -> bool {
        let last_contact = self.last_contact.lock();
        let is_reachable = |address: &&SocketAddr| {
            let contact_at = last_contact.get(*address);
            contact_at.is_some_and(|&contact_at| now - contact_at < CONTACT_TIMEOUT)
        };
        let reachable = neighbours.iter().filter(is_reachable).count();
        (reachable + 1) * 2 > neighbours.len() + 1
    }
}

/// Returns the parts into which a quota is cut: one for each region that the settings
/// name, also while its instances are out of sight. They may still hand out theirs.
fn parts<D: Dialect>(shared: &Shared<D>, state: &State, quota: Quota) -> QuotaParts {
    let regions = shared.options.place.regions_count();
    QuotaParts::new(quota, state.bounds().quota, regions)
}
