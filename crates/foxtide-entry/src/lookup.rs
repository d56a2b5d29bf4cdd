//! Look-ups: which instances a caller is to use.

use crate::answer::{Answer, Refusal};
use crate::clock::Clock;
use crate::parts::{Directory, Parts, ServingInstance, Steer};
use foxtide_core::ids::{OrganisationId, RegionId, ServiceId};
use foxtide_core::units::Revision;
use http_types::{StatusCode, Url};
use serde::Serialize;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// What a caller asks for.
#[derive(Debug)]
struct Question {
    organisation: OrganisationId,
    service: ServiceId,
    client: IpAddr,
}

/// The answer to a look-up.
#[derive(Debug, Serialize)]
struct LookupAnswer {
    instances: Vec<ServingInstance>,
    ttl_s: u64,
    revision: Revision,
}

/// Answers a look-up.
///
/// # Errors
///
/// Fails where the question is malformed, or names what does not exist.
pub(crate) fn lookup<P: Parts>(
    parts: &P,
    bound_to: Option<&OrganisationId>,
    ttl: Duration,
    url: &Url,
    peer: SocketAddr,
) -> Result<Answer, Refusal> {
    let question = Question::parse(url, peer)?;
    if bound_to.is_some_and(|bound| *bound != question.organisation) {
        return Err(unknown_organisation());
    }
    let organisation = parts.directory().organisation(&question.organisation);
    let organisation = organisation.ok_or_else(unknown_organisation)?;
    if organisation.service(&question.service).is_none() {
        return Err(unknown_service());
    }
    let now = parts.clock().now();
    let steer = parts.steer();
    let regions = steer.lookup(&organisation, &question.service, question.client, now);
    let answer = LookupAnswer {
        instances: order(&parts.directory().instances(), &regions),
        ttl_s: ttl.as_secs(),
        revision: organisation.revision,
    };
    Ok(Answer::json(StatusCode::Ok, &answer))
}

/// Returns the refusal for an organisation that is not served here.
pub(crate) fn unknown_organisation() -> Refusal {
    Refusal::not_run(StatusCode::NotFound, "unknown-organisation")
}

/// Returns the refusal for a service that the organisation does not have.
pub(crate) fn unknown_service() -> Refusal {
    Refusal::not_run(StatusCode::NotFound, "unknown-service")
}

/// Orders instances by their region's rank; within a region at random, so that
/// callers spread over all.
fn order(instances: &[ServingInstance], regions: &[RegionId]) -> Vec<ServingInstance> {
    let mut ordered = instances.to_vec();
    fastrand::shuffle(&mut ordered);
    let rank = |instance: &ServingInstance| {
        let found = regions.iter().position(|region| *region == instance.region);
        found.unwrap_or(regions.len())
    };
    ordered.sort_by_key(rank);
    ordered
}

impl Question {
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
