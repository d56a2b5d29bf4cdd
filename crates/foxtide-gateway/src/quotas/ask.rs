//! Asks the coordinators of a quota for tokens.

use super::answer::coordinate;
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

/// How long a coordinator of another region may take to answer: a round trip between the
/// regions that are furthest apart is 110 ms.
const ANSWER_TIME_FAR: Duration = Duration::from_millis(250);

/// How often a coordinator of the own region is asked before it counts as silent: single
/// datagrams are lost, and a silent one is not asked again for half a second.
const QUESTIONS_NEAR: u32 = 2;

/// For how long a coordinator of another region is not asked again that had no token: its
/// part fills up slowly, and each question in vain delays the refusal by a round trip.
const REFUSAL_TIME: Duration = Duration::from_millis(150);

/// When a caller is told to come back where no coordinator tells.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// An instance that hands out a quota.
#[derive(Clone, Copy, Debug)]
struct Source {
    address: SocketAddr,
    is_near: bool,
}

/// Takes a token of an organisation's quota for one request.
///
/// # Errors
///
/// Fails where the quota has no room for it, or nobody who could tell answers.
pub(crate) async fn take_token<D: Dialect>(
    shared: &Shared<D>,
    organisation: &OrganisationId,
    quota: Quota,
    priority: u32,
) -> Result<(), QuotaRefusal> {
    let now = shared.clock.now();
    let (has_token, wanted) = {
        let mut stocks = shared.quotas.stocks.lock();
        let stock = stocks.entry(organisation.clone()).or_default();
        (stock.take(now), stock.wanted())
    };
    if has_token {
        return Ok(());
    }
    let question = QuotaRequest {
        organisation: organisation.clone(),
        priority,
        wanted,
    };
    // One after the other: a token of each, of which one is used, would leave small
    // quotas short.
    let mut tally = Tally::default();
    for source in sources(shared, organisation) {
        let answer = ask(shared, source, &question).await;
        if let QuotaAnswer::Granted { tokens } = answer {
            let mut stocks = shared.quotas.stocks.lock();
            let stock = stocks.entry(organisation.clone()).or_default();
            stock.put(tokens - 1, now);
            return Ok(());
        }
        tally.take_in(answer);
    }
    if tally.is_silent && take_spare(shared, organisation, quota) {
        return Ok(());
    }
    Err(tally.refusal())
}

/// What the coordinators of a quota have said that granted nothing.
#[derive(Debug, Default)]
struct Tally {
    retry_after: Option<Duration>,
    is_silent: bool,
}

impl Tally {
    fn take_in(&mut self, answer: QuotaAnswer) {
        match answer {
            QuotaAnswer::Refused { retry_after } => {
                let earliest = self.retry_after.unwrap_or(retry_after);
                self.retry_after = Some(earliest.min(retry_after));
            }
            QuotaAnswer::NotCoordinator | QuotaAnswer::Granted { .. } => self.is_silent = true,
        }
    }

    fn refusal(&self) -> QuotaRefusal {
        QuotaRefusal {
            retry_after: self.retry_after.unwrap_or(RETRY_AFTER),
            cause: if self.is_silent {
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
        is_near: member.region == *own,
    };
    coordinators.iter().map(source).collect()
}

/// Asks one coordinator; one that does not answer hands out nothing.
async fn ask<D: Dialect>(
    shared: &Shared<D>,
    source: Source,
    question: &QuotaRequest,
) -> QuotaAnswer {
    let answer = ask_source(shared, source, question).await;
    let (kind, place) = (kind(answer), if source.is_near { "near" } else { "far" });
    metrics::counter!("foxtide_quota_answers_total", "answer" => kind, "place" => place)
        .increment(1);
    answer.unwrap_or(QuotaAnswer::NotCoordinator)
}

fn kind(answer: Option<QuotaAnswer>) -> &'static str {
    match answer {
        Some(QuotaAnswer::Granted { .. }) => "granted",
        Some(QuotaAnswer::Refused { .. }) => "refused",
        Some(QuotaAnswer::NotCoordinator) => "not_mine",
        None => "unanswered",
    }
}

async fn ask_source<D: Dialect>(
    shared: &Shared<D>,
    source: Source,
    question: &QuotaRequest,
) -> Option<QuotaAnswer> {
    let quotas = &shared.quotas;
    let admission = &shared.admission;
    if source.address == admission.address() {
        return Some(coordinate(shared, question));
    }
    if admission.is_silent(source.address) {
        return None;
    }
    let now = shared.clock.now();
    if let Some(retry_after) = quotas.refusal_of(&question.organisation, source.address, now) {
        return Some(QuotaAnswer::Refused { retry_after });
    }
    let (times, time) = if source.is_near {
        (QUESTIONS_NEAR, admission.answer_time())
    } else {
        (1, ANSWER_TIME_FAR)
    };
    let answer = exchange(shared, source.address, question, times, time).await;
    match answer {
        None => admission.note_silent(source.address),
        Some(QuotaAnswer::Refused { retry_after }) if !source.is_near => {
            let until = shared.clock.now() + REFUSAL_TIME;
            let key = (question.organisation.clone(), source.address);
            quotas.refusing.lock().insert(key, (until, retry_after));
        }
        Some(_) => {}
    }
    answer
}

/// Sends a question until it is answered, but no more than `times`.
async fn exchange<D: Dialect>(
    shared: &Shared<D>,
    coordinator: SocketAddr,
    question: &QuotaRequest,
    times: u32,
    time: Duration,
) -> Option<QuotaAnswer> {
    let number = shared.admission.number();
    let (answered, answers) = bounded(1);
    let _pending = Pending::new(shared, number, answered);
    let datagram = Datagram::quota_question(number, question);
    for _ in 0..times {
        shared.admission.send(coordinator, &datagram);
        let late = async {
            Timer::after(time).await;
            None
        };
        let answer = or(async { answers.recv().await.ok() }, late).await;
        if answer.is_some() {
            return answer;
        }
    }
    None
}

/// A question that waits for its answer until this is dropped.
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
    }
}

fn take_spare<D: Dialect>(shared: &Shared<D>, organisation: &OrganisationId, quota: Quota) -> bool {
    let (parts, instances) = {
        let state = shared.state.lock();
        (parts(shared, &state, quota), state.members().names())
    };
    let own = &shared.options.place.instance;
    let now = shared.clock.now();
    let mut spare = shared.quotas.spare.lock();
    spare.try_take(organisation, &parts, own, &instances, now)
}
