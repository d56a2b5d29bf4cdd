//! Answers requests for tokens of quotas.

use super::parts;
use crate::datagram::{
    Datagram,
    QuotaQuestionMessage, //
};
use crate::dialect::Dialect;
use crate::shared::Shared;
use crate::state::State;
use foxtide_core::quota::{
    QuotaAnswer,
    QuotaRequest, //
};
use foxtide_core::time::MonotonicTime;
use std::net::SocketAddr;
use std::time::Duration;

/// The age of the data from the store up to which an instance hands out quotas without further
/// checks: other instances take over the quotas of one that the store has not heard for longer.
const KNOWLEDGE_AGE_MAX: Duration = Duration::from_millis(3_500);

/// Answers another instance's request.
pub(crate) fn answer<D: Dialect>(
    shared: &Shared<D>,
    from: SocketAddr,
    number: u64,
    message: &QuotaQuestionMessage,
) {
    let request = match message.request() {
        Ok(request) => request,
        Err(error) => {
            log::debug!("invalid quota request from {from}: {error}");
            return;
        }
    };
    let answer = answer_locally(shared, &request);
    let datagram = Datagram::quota_answer(number, answer);
    shared.admission.send(from, &datagram);
}

/// Answers a request from this instance's part of the quota, if it has one.
pub(super) fn answer_locally<D: Dialect>(
    shared: &Shared<D>,
    request: &QuotaRequest,
) -> QuotaAnswer {
    let now = shared.clock.now();
    let (parts, since) = {
        let state = shared.state.lock();
        let routes = state.routes();
        let quota = routes.and_then(|routes| routes.quota(&request.organisation));
        let Some(quota) = quota.filter(|_| is_active_coordinator(shared, &state, request, now))
        else {
            return QuotaAnswer::NotCoordinator;
        };
        let since = state.members().changed_at(&shared.options.place.region);
        (parts(shared, &state, quota), since)
    };
    let mut coordinator = shared.quotas.coordinator.lock();
    coordinator.ask(request, &parts, since, now)
}

/// Tells whether this instance hands out the quota of an organisation: it is the coordinator of
/// its region, and either its data is recent or it reaches most of the region.
fn is_active_coordinator<D: Dialect>(
    shared: &Shared<D>,
    state: &State,
    request: &QuotaRequest,
    now: MonotonicTime,
) -> bool {
    let place = &shared.options.place;
    let members = state.members();
    let coordinators = members.quota_coordinators(&request.organisation, &place.region);
    let is_own = coordinators
        .first()
        .is_some_and(|member| member.instance == place.instance);
    if !is_own || state.knowledge_age() <= KNOWLEDGE_AGE_MAX {
        return is_own;
    }
    let neighbours = members
        .all()
        .filter(|member| member.region == place.region && member.instance != place.instance);
    let neighbours: Vec<SocketAddr> = neighbours.map(|member| member.datagram_address).collect();
    shared.quotas.reaches_region_majority(&neighbours, now)
}
