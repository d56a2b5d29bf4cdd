//! How callers, upstreams and the gateway tell each other of a request.

use foxtide_core::ids::{
    RegionId,
    UpstreamId, //
};
use foxtide_core::placement::LoadReport;
use foxtide_core::routing::{
    ApiKey,
    OrganisationTerms, //
};
use foxtide_http::{
    ForwardedRequest,
    ForwardedResponse,
    HeaderLines, //
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Translates between header lines and what they mean.
///
/// # Contract
///
/// An implementer decides nothing: it reads and writes lines. The gateway calls
/// it with whole heads, and passes on what it leaves in them.
pub trait Dialect: Send + Sync + 'static {
    /// Reads what a caller says of its request.
    fn caller_facts(&self, lines: &HeaderLines) -> CallerFacts;

    /// Writes for whom a request is, whose it is and how much time is left for it. What
    /// the caller proves itself with is taken out wherever callers need a key.
    fn address_request(&self, lines: &mut HeaderLines, address: &RequestAddress<'_>);

    /// Reads what an upstream says of its response.
    fn upstream_facts(&self, head: &ForwardedResponse) -> UpstreamFacts;

    /// Reads a caller's question which instances to use; nothing where the
    /// request is none.
    fn lookup(&self, request: &ForwardedRequest) -> Option<Lookup>;

    /// Encodes the answer to a look-up as a JSON body.
    fn lookup_answer(&self, addresses: &[SocketAddr], ttl: Duration) -> Vec<u8>;

    /// Tells whether a request asks if the instance is ready.
    fn asks_readiness(&self, request: &ForwardedRequest) -> bool;
}

/// What a caller says of its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerFacts {
    /// The identity of the request.
    pub request_id: Option<String>,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// The name of the object that the request concerns.
    pub object: Option<Vec<u8>>,
    /// What it proves its organisation with.
    pub credentials: Credentials,
}

/// What a caller proves its organisation with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Credentials {
    /// Nothing.
    #[default]
    Missing,
    /// A key.
    Key(ApiKey),
    /// Something else than one key, in another form.
    Unreadable,
}

/// Whose request it is.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerIdentity {
    /// The configuration has no organisations: nobody is asked.
    Unasked,
    /// Nobody's: the route is public, and the caller shows no key that is known.
    Anonymous,
    /// An organisation's.
    Organisation(Arc<OrganisationTerms>),
}

impl CallerIdentity {
    /// Returns the organisation, if it is one's.
    pub fn organisation(&self) -> Option<&OrganisationTerms> {
        match self {
            Self::Unasked | Self::Anonymous => None,
            Self::Organisation(terms) => Some(terms),
        }
    }
}

/// For whom a request is and whose it is.
#[derive(Clone, Copy, Debug)]
pub struct RequestAddress<'a> {
    /// The upstream.
    pub upstream: &'a UpstreamId,
    /// The time that is left.
    pub time_left: Duration,
    /// Whose request it is.
    pub caller: &'a CallerIdentity,
}

/// What an upstream says of its response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamFacts {
    /// The identity of the request to which it responds.
    pub request_id: Option<String>,
    /// Whether the request did not run there and never will.
    pub is_not_run: bool,
    /// Whether another incarnation than the one addressed has the address.
    pub is_other_incarnation: bool,
    /// Whether the response carries the upstream's signature.
    pub is_signed: bool,
    /// Whether the body was encoded on its way, so that it is not the
    /// upstream's.
    pub is_encoded: bool,
    /// The upstream's load.
    pub load: Option<LoadReport>,
}

/// A caller's question which instances to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// The region of the caller.
    pub region: Option<RegionId>,
}
