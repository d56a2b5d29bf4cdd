//! Look-ups: selects the instances that a caller should use.

use crate::answer::{
    Answer,
    Refusal, //
};
use crate::clock::Clock;
use crate::dependencies::{
    Dependencies,
    Directory,
    ServingInstance, //
};
use crate::options::EntryOptions;
use foxtide_core::events::RequestId;
use foxtide_core::explain::{
    Decision,
    DecisionKind,
    Rule, //
};
use foxtide_core::ids::{
    OrganisationId,
    RegionId,
    ServiceId, //
};
use foxtide_core::organisation::{
    Drain,
    DrainTarget,
    Organisation, //
};
use foxtide_core::time::WallTime;
use foxtide_core::units::Revision;
use http_types::{
    StatusCode,
    Url, //
};
use serde::Serialize;
use std::net::{
    IpAddr,
    SocketAddr, //
};

/// Parameters of a look-up.
#[derive(Debug)]
struct LookupQuery {
    organisation: OrganisationId,
    service: ServiceId,
    client: IpAddr,
}

/// Body of the answer to a look-up.
#[derive(Debug, Serialize)]
struct LookupAnswer<'a> {
    instances: Vec<&'a ServingInstance>,
    ttl_s: u64,
    revision: Revision,
}

/// Answers a look-up.
///
/// # Errors
///
/// Returns a refusal if the query is malformed or names an unknown organisation
/// or service.
pub(crate) fn lookup<P: Dependencies>(
    deps: &P,
    options: &EntryOptions,
    url: &Url,
    peer: SocketAddr,
    id: RequestId,
) -> Result<Answer, Refusal> {
    let query = LookupQuery::parse(url, peer)?;
    if !options.serves(&query.organisation) {
        return Err(unknown_organisation());
    }
    let traffic = deps.traffic().get(&query.organisation);
    let traffic = traffic.ok_or_else(unknown_organisation)?;
    let service = traffic.service(&query.service);
    let service = service.ok_or_else(unknown_service)?;
    let organisation = traffic.organisation();
    let (directory, wall) = (deps.directory(), deps.clock().wall());
    let known = directory.client_region(&query.organisation, query.client);
    let origin = &deps.traffic().options().origin;
    let region = known.as_ref().unwrap_or(origin);
    let instances = directory.instances();
    let candidates = candidates(&instances, &organisation, region, wall);
    let chosen = choose(candidates, options.lookup_instances);
    let rule = rule(&chosen, known.as_ref(), region);
    let region = Some(region.clone());
    let decision = Decision::new(DecisionKind::Lookup, rule, service.view(), region, wall);
    deps.explainer().record(decision.with_request(&id));
    let answer = LookupAnswer {
        instances: chosen,
        ttl_s: options.lookup_ttl.as_secs(),
        revision: organisation.revision,
    };
    Ok(Answer::json(StatusCode::Ok, &answer))
}

fn rule(chosen: &[&ServingInstance], known: Option<&RegionId>, region: &RegionId) -> Rule {
    match (chosen.first(), known) {
        (_, None) => Rule::AnyInstance,
        (Some(first), Some(_)) if first.region == *region => Rule::ClientRegion,
        _ => Rule::NextRegion,
    }
}

/// Returns the instances that no drain excludes, with their distance from
/// `region`.
fn candidates<'a>(
    instances: &'a [ServingInstance],
    organisation: &Organisation,
    region: &RegionId,
    wall: WallTime,
) -> Vec<(Distance, &'a ServingInstance)> {
    let started = |drain: &&Drain| drain.start_us <= wall;
    let drains: Vec<&Drain> = organisation.drains.iter().filter(started).collect();
    let is_offered =
        |instance: &&ServingInstance| !drains.iter().any(|drain| excludes(drain, instance));
    let with_distance = |instance: &'a ServingInstance| {
        let distance = distance(organisation, region, &instance.region);
        (distance, instance)
    };
    instances
        .iter()
        .filter(is_offered)
        .map(with_distance)
        .collect()
}

/// Returns whether a drain excludes an instance from look-ups.
fn excludes(drain: &Drain, instance: &ServingInstance) -> bool {
    match &drain.target {
        DrainTarget::Instance(id) => *id == instance.instance,
        DrainTarget::AvailabilityZone(zone) => *zone == instance.availability_zone,
        DrainTarget::Upstream { .. } | DrainTarget::Region(_) => false,
    }
}

/// One-way delay between regions, in microseconds.
type Distance = u64;

fn distance(organisation: &Organisation, from: &RegionId, to: &RegionId) -> Distance {
    if from == to {
        return 0;
    }
    let delay_ms = organisation.link(from, to).map(|link| link.delay_ms);
    delay_ms.map_or(Distance::MAX, |delay_ms| (delay_ms * 1e3) as Distance)
}

/// Selects the nearest instances; ties are broken at random to spread callers.
fn choose(
    mut candidates: Vec<(Distance, &ServingInstance)>,
    limit: usize,
) -> Vec<&ServingInstance> {
    fastrand::shuffle(&mut candidates);
    candidates.sort_by_key(|(distance, _)| *distance);
    candidates.truncate(limit);
    candidates
        .into_iter()
        .map(|(_, instance)| instance)
        .collect()
}

/// Refuses a request for an organisation that is not served here.
pub(crate) fn unknown_organisation() -> Refusal {
    Refusal::not_run(StatusCode::NotFound, "unknown-organisation")
}

/// Refuses a request for a service that the organisation does not have.
pub(crate) fn unknown_service() -> Refusal {
    Refusal::not_run(StatusCode::NotFound, "unknown-service")
}

impl LookupQuery {
    fn parse(url: &Url, peer: SocketAddr) -> Result<Self, Refusal> {
        let (mut organisation, mut service, mut client) = (None, None, None);
        for (key, value) in url.query_pairs() {
            match key.as_ref() {
                "organisation" => organisation = value.parse().ok(),
                "service" => service = value.parse().ok(),
                "client" => client = Some(value.parse().map_err(|_| malformed())?),
                _ => {}
            }
        }
        Ok(Self {
            organisation: organisation.ok_or_else(malformed)?,
            service: service.ok_or_else(malformed)?,
            client: client.unwrap_or_else(|| peer.ip()),
        })
    }
}

fn malformed() -> Refusal {
    Refusal::not_run(StatusCode::BadRequest, "malformed-lookup")
}
