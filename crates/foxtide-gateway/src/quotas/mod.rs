//! Asks the coordinators of an organisation's quota, and answers as one.
//!
//! Locks: of those of [`Quotas`] none is taken while another is held. `heard` may be taken
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

/// How long ago an instance may have been heard that counts as in touch with this one.
const HEARD_TIME: Duration = Duration::from_secs(2);

/// How long what an organisation needed is remembered.
const STOCK_TIME: Duration = Duration::from_secs(30);

/// How often a line tells that an organisation's quota is used up.
const LINE_PERIOD: Duration = Duration::from_secs(5);

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
    stocks: Mutex<HashMap<OrganisationId, TokenCache>>,
    spare: Mutex<FallbackTokens>,
    /// Questions that wait for an answer, by their numbers.
    pending: Mutex<HashMap<u64, Sender<QuotaAnswer>>>,
    /// When other instances last sent a datagram.
    heard: Mutex<HashMap<SocketAddr, MonotonicTime>>,
    /// Coordinators of other regions that had no token for an organisation, until when
    /// they are not asked, and what they told.
    refusing: Mutex<HashMap<(OrganisationId, SocketAddr), (MonotonicTime, Duration)>>,
    /// When a line last told that an organisation's quota is used up.
    told: Mutex<HashMap<OrganisationId, MonotonicTime>>,
}

impl Quotas {
    /// Notes that another instance sent a datagram.
    pub(crate) fn hear(&self, from: SocketAddr, now: MonotonicTime) {
        self.heard.lock().insert(from, now);
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
        self.stocks
            .lock()
            .retain(|_, stock| !stock.is_unused(STOCK_TIME, now));
        self.heard
            .lock()
            .retain(|_, heard_at| now - *heard_at < HEARD_TIME);
        self.refusing.lock().retain(|_, (until, _)| now < *until);
        self.told
            .lock()
            .retain(|_, told_at| now - *told_at < LINE_PERIOD);
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
        let mut told = self.told.lock();
        let told_at = told.get(&terms.organisation);
        if told_at.is_none_or(|&told_at| now - told_at >= LINE_PERIOD) {
            told.insert(terms.organisation.clone(), now);
            beliefs::quota_reached(terms, refusal);
        }
    }

    /// Returns what a coordinator told that had no token a moment ago.
    fn refusal_of(
        &self,
        organisation: &OrganisationId,
        coordinator: SocketAddr,
        now: MonotonicTime,
    ) -> Option<Duration> {
        let refusing = self.refusing.lock();
        let (until, retry_after) = refusing.get(&(organisation.clone(), coordinator))?;
        (now < *until).then_some(*retry_after)
    }

    /// Tells whether more than half of the region's instances, this one among them, were
    /// heard of late.
    fn hears_region(&self, neighbours: &[SocketAddr], now: MonotonicTime) -> bool {
        let heard = self.heard.lock();
        let is_heard = |address: &&SocketAddr| {
            let heard_at = heard.get(*address);
            heard_at.is_some_and(|&heard_at| now - heard_at < HEARD_TIME)
        };
        let heard = neighbours.iter().filter(is_heard).count();
        (heard + 1) * 2 > neighbours.len() + 1
    }
}

/// Returns the parts into which a quota is cut: one for each region that the settings
/// name, also while its instances are out of sight. They may still hand out theirs.
fn parts<D: Dialect>(shared: &Shared<D>, state: &State, quota: Quota) -> QuotaParts {
    let regions = shared.options.place.regions_count();
    QuotaParts::new(quota, state.bounds().quota, regions)
}
