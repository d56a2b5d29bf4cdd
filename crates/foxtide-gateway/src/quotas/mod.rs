//! Asks the coordinators of quotas for tokens, and answers as a coordinator.
//!
//! Locks: at most one of those of [`Quotas`] is held at a time. `last_contact` may be locked
//! while the state is held, never the other way round.

mod answer;
mod ask;

pub(crate) use answer::answer;
pub(crate) use ask::take_token;

use crate::dialect::Dialect;
use crate::journal::state_changes;
use crate::shared::Shared;
use crate::state::State;
use foxtide_core::ids::OrganisationId;
use foxtide_core::quota::{
    FallbackTokens,
    QuotaAnswer,
    QuotaCoordinator,
    QuotaParts,
    TokenCache, //
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

/// How long after its last datagram another instance counts as reachable.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the unused tokens and the demand of an organisation are kept.
const LOCAL_TOKENS_TTL: Duration = Duration::from_secs(30);

/// How often a used-up quota of an organisation is logged at most.
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
    /// Returns the label for logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::UsedUp => "used_up",
            Self::CoordinatorSilent => "coordinator_silent",
        }
    }
}

/// The refusal of a request by a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QuotaRefusal {
    /// When a token is available.
    pub(crate) retry_after: Duration,
    pub(crate) cause: QuotaCause,
}

/// The quotas that an instance coordinates and the tokens that it holds.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    coordinator: Mutex<QuotaCoordinator>,
    local_tokens: Mutex<HashMap<OrganisationId, TokenCache>>,
    fallback_tokens: Mutex<FallbackTokens>,
    /// Unanswered requests, by number.
    pending: Mutex<HashMap<u64, Sender<QuotaAnswer>>>,
    /// When other instances last sent a datagram.
    last_contact: Mutex<HashMap<SocketAddr, MonotonicTime>>,
    /// Recent refusals by coordinators of other regions: until when they are reused, and the
    /// retry delay.
    recent_refusals: Mutex<HashMap<(OrganisationId, SocketAddr), (MonotonicTime, Duration)>>,
    /// When a used-up quota was last logged.
    last_logged: Mutex<HashMap<OrganisationId, MonotonicTime>>,
}

impl Quotas {
    /// Records a datagram from another instance.
    pub(crate) fn record_contact(&self, from: SocketAddr, now: MonotonicTime) {
        self.last_contact.lock().insert(from, now);
    }

    /// Delivers an answer to the request that waits for it, if any.
    pub(crate) fn deliver(&self, number: u64, answer: QuotaAnswer) {
        if let Some(waiting) = self.pending.lock().get(&number)
            && waiting.try_send(answer).is_err()
        {
            log::debug!("dropped quota answer {number}: the request has ended");
        }
    }

    /// Drops expired entries.
    pub(crate) fn prune(&self, now: MonotonicTime) {
        self.coordinator.lock().prune(now);
        self.fallback_tokens.lock().prune(now);
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

    /// Counts a refusal, and logs it unless one was logged recently.
    pub(crate) fn record_refusal(
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
            state_changes::quota_reached(terms, refusal);
        }
    }

    /// Returns the retry delay of a recent refusal by a coordinator.
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

    /// Tells whether more than half of the region's instances, including this one, are
    /// reachable.
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

/// Returns the parts of a quota: one for each configured region, including regions out of
/// contact, whose instances may still hand out theirs.
fn parts<D: Dialect>(shared: &Shared<D>, state: &State, quota: Quota) -> QuotaParts {
    let regions = shared.options.place.regions_count();
    QuotaParts::new(quota, state.bounds().quota, regions)
}
