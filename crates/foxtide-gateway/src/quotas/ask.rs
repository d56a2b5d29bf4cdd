//! Asks the coordinators of a quota for tokens.

use super::answer::answer_locally;
use super::{
    QuotaCause,
    QuotaRefusal,
    parts, //
};
use crate::datagram::Datagram;
use crate::dialect::Dialect;
use crate::shared::Shared;
use foxtide_core::ids::OrganisationId;
use foxtide_core::quota::{
    QuotaAnswer,
    QuotaRequest, //
};
use foxtide_core::registry::Member;
use foxtide_core::routing::Quota;
use futures_lite::future::or;
use smol::Timer;
use smol::channel::{
    Sender,
    bounded, //
};
use std::net::SocketAddr;
use std::time::Duration;

/// Answer timeout of a coordinator in another region; the longest round trip is 110 ms.
const ANSWER_TIMEOUT_OTHER_REGION: Duration = Duration::from_millis(250);

/// How often a coordinator of the own region is asked for one request: single datagrams are lost.
const REQUESTS_OWN_REGION: u32 = 2;

/// How long a refusal by a coordinator of another region is reused: each further request would
/// delay the refusal by a round trip. Its part of the quota fills up slowly.
const REFUSAL_TTL: Duration = Duration::from_millis(150);

/// Retry-After if no coordinator states one.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// An instance that hands out a quota.
#[derive(Clone, Copy, Debug)]
struct Source {
    address: SocketAddr,
    is_own_region: bool,
}

/// Takes a token of an organisation's quota for one request.
///
/// # Errors
///
/// Fails if the quota is used up, or if coordinators do not answer and no fallback token is left.
pub(crate) async fn take_token<D: Dialect>(
    shared: &Shared<D>,
    organisation: &OrganisationId,
    quota: Quota,
    priority: u32,
) -> Result<(), QuotaRefusal> {
    let now = shared.clock.now();
    let (has_token, wanted) = {
        let mut local_tokens = shared.quotas.local_tokens.lock();
        let local = local_tokens.entry(organisation.clone()).or_default();
        (local.take(now), local.wanted())
    };
    if has_token {
        return Ok(());
    }
    let request = QuotaRequest {
        organisation: organisation.clone(),
        priority,
        wanted,
    };
    // Sequential: asking all at once would take several tokens for one request from small
    // quotas.
    let mut answers = CoordinatorAnswers::default();
    for source in sources(shared, organisation) {
        let answer = ask(shared, source, &request).await;
        if let QuotaAnswer::Granted { tokens } = answer {
            let mut local_tokens = shared.quotas.local_tokens.lock();
            let local = local_tokens.entry(organisation.clone()).or_default();
            local.put(tokens - 1, now);
            return Ok(());
        }
        answers.add(answer);
    }
    if answers.has_unanswered && take_fallback_token(shared, organisation, quota) {
        return Ok(());
    }
    Err(answers.refusal())
}

/// The answers of coordinators that granted no token.
#[derive(Debug, Default)]
struct CoordinatorAnswers {
    retry_after: Option<Duration>,
    has_unanswered: bool,
}

impl CoordinatorAnswers {
    fn add(&mut self, answer: QuotaAnswer) {
        match answer {
            QuotaAnswer::Rejected { retry_after } => {
                let earliest = self.retry_after.unwrap_or(retry_after);
                self.retry_after = Some(earliest.min(retry_after));
            }
            QuotaAnswer::NotCoordinator | QuotaAnswer::Granted { .. } => self.has_unanswered = true,
        }
    }

    fn refusal(&self) -> QuotaRefusal {
        QuotaRefusal {
            retry_after: self.retry_after.unwrap_or(RETRY_AFTER),
            cause: if self.has_unanswered {
                QuotaCause::CoordinatorSilent
            } else {
                QuotaCause::UsedUp
            },
        }
    }
}

fn sources<D: Dialect>(shared: &Shared<D>, organisation: &OrganisationId) -> Vec<Source> {
    let own = &shared.options.place.region;
    let state = shared.state.lock();
    let coordinators = state.members().quota_coordinators(organisation, own);
    let source = |member: &&Member| Source {
        address: member.datagram_address,
        is_own_region: member.region == *own,
    };
    coordinators.iter().map(source).collect()
}

/// Asks one coordinator and counts its answer.
async fn ask<D: Dialect>(
    shared: &Shared<D>,
    source: Source,
    request: &QuotaRequest,
) -> QuotaAnswer {
    let answer = ask_source(shared, source, request).await;
    let (answer_label, place) = (
        answer_label(answer),
        if source.is_own_region { "near" } else { "far" },
    );
    metrics::counter!("foxtide_quota_answers_total", "answer" => answer_label, "place" => place)
        .increment(1);
    answer.unwrap_or(QuotaAnswer::NotCoordinator)
}

fn answer_label(answer: Option<QuotaAnswer>) -> &'static str {
    match answer {
        Some(QuotaAnswer::Granted { .. }) => "granted",
        Some(QuotaAnswer::Rejected { .. }) => "refused",
        Some(QuotaAnswer::NotCoordinator) => "not_mine",
        None => "unanswered",
    }
}

async fn ask_source<D: Dialect>(
    shared: &Shared<D>,
    source: Source,
    request: &QuotaRequest,
) -> Option<QuotaAnswer> {
    let quotas = &shared.quotas;
    let admission = &shared.admission;
    if source.address == admission.address() {
        return Some(answer_locally(shared, request));
    }
    if admission.is_skipped(source.address) {
        return None;
    }
    let now = shared.clock.now();
    if let Some(retry_after) = quotas.recent_refusal(&request.organisation, source.address, now) {
        return Some(QuotaAnswer::Rejected { retry_after });
    }
    let (times, timeout) = if source.is_own_region {
        let timeout = admission.timeout(source.address, admission.answer_time());
        (REQUESTS_OWN_REGION, timeout)
    } else {
        // The tokens of a late answer are lost.
        (1, ANSWER_TIMEOUT_OTHER_REGION)
    };
    let answer = exchange(shared, source.address, request, times, timeout).await;
    if let Some(QuotaAnswer::Rejected { retry_after }) = answer
        && !source.is_own_region
    {
        let until = shared.clock.now() + REFUSAL_TTL;
        let key = (request.organisation.clone(), source.address);
        let mut recent_refusals = quotas.recent_refusals.lock();
        recent_refusals.insert(key, (until, retry_after));
    }
    answer
}

/// Sends a request until it is answered, at most `times` times.
async fn exchange<D: Dialect>(
    shared: &Shared<D>,
    coordinator: SocketAddr,
    request: &QuotaRequest,
    times: u32,
    timeout: Duration,
) -> Option<QuotaAnswer> {
    let admission = &shared.admission;
    let number = admission.next_datagram_number();
    let (answered, answers) = bounded(1);
    let _pending = Pending::new(shared, number, answered);
    let datagram = Datagram::quota_request(number, request);
    for _ in 0..times {
        admission.record_ask(number, coordinator);
        admission.send(coordinator, &datagram);
        let late = async {
            Timer::after(timeout).await;
            None
        };
        let answer = or(async { answers.recv().await.ok() }, late).await;
        if answer.is_some() {
            return answer;
        }
        admission.record_timeout(number);
    }
    None
}

/// An unanswered request; dropping it stops the wait for the answer.
struct Pending<'a, D> {
    shared: &'a Shared<D>,
    number: u64,
}

impl<'a, D> Pending<'a, D> {
    fn new(shared: &'a Shared<D>, number: u64, answered: Sender<QuotaAnswer>) -> Self {
        shared.quotas.pending.lock().insert(number, answered);
        Self { shared, number }
    }
}

impl<D> Drop for Pending<'_, D> {
    fn drop(&mut self) {
        self.shared.quotas.pending.lock().remove(&self.number);
        self.shared.admission.end_ask(self.number);
    }
}

fn take_fallback_token<D: Dialect>(
    shared: &Shared<D>,
    organisation: &OrganisationId,
    quota: Quota,
) -> bool {
    let (parts, instances) = {
        let state = shared.state.lock();
        (parts(shared, &state, quota), state.members().names())
    };
    let own = &shared.options.place.instance;
    let now = shared.clock.now();
    let mut fallback_tokens = shared.quotas.fallback_tokens.lock();
    fallback_tokens.try_take(organisation, &parts, own, &instances, now)
}
