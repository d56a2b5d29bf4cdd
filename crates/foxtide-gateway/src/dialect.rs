//! Translates between header lines and the values that the gateway uses.

use foxtide_core::ids::{
    RegionId,
    UpstreamId, //
};
use foxtide_core::placement::LoadReport;
use foxtide_core::routing::{
    ApiKey,
    OrganisationTerms, //
};
use foxtide_core::units::RequestRate;
use foxtide_http::{
    ForwardedRequest,
    ForwardedResponse,
    HeaderLines, //
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Reads and writes the header lines of a platform.
///
/// # Contract
///
/// An implementation reads and writes lines and makes no decisions. The gateway calls it with
/// whole heads, and forwards the lines that it leaves in them.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the headers of a caller's request.
    fn read_caller_headers(&self, lines: &HeaderLines) -> CallerHeaders;

    /// Writes the headers of a forwarded request, and removes the caller's credentials wherever
    /// callers need a key.
    fn write_forward_headers(&self, lines: &mut HeaderLines, values: &ForwardHeaders<'_>);

    /// Writes the time that is left to a request that another instance forwards.
    fn write_time_left(&self, lines: &mut HeaderLines, time_left: Duration);

    /// Reads the headers of an upstream's response.
    fn read_upstream_headers(&self, head: &ForwardedResponse) -> UpstreamHeaders;

    /// Reads a look-up of instances; `None` if the request is not one.
    fn lookup(&self, request: &ForwardedRequest) -> Option<Lookup>;

    /// Encodes the answer to a look-up as a JSON body.
    fn lookup_answer(&self, addresses: &[SocketAddr], ttl: Duration) -> Vec<u8>;

    /// Tells whether a request is a readiness check.
    fn is_readiness_check(&self, request: &ForwardedRequest) -> bool;
}

/// The values of the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// The identity of the request.
    pub request_id: Option<String>,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// The name of the object that the request concerns.
    pub object: Option<Vec<u8>>,
    /// The caller's credentials.
    pub credentials: Credentials,
}

/// The credentials of a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Credentials {
    /// The request carries none.
    #[default]
    Missing,
    /// An API key.
    Key(ApiKey),
    /// Credentials other than one well-formed key.
    Malformed,
}

/// The identity of a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerIdentity {
    /// The configuration has no organisations, so callers are not identified.
    NotRequired,
    /// The route is public, and the caller presents no known key.
    Anonymous,
    /// The caller belongs to an organisation.
    Organisation(Arc<OrganisationTerms>),
}

impl CallerIdentity {
    /// Returns the organisation of the caller, if any.
    pub fn organisation(&self) -> Option<&OrganisationTerms> {
        match self {
            Self::NotRequired | Self::Anonymous => None,
            Self::Organisation(terms) => Some(terms),
        }
    }
}

/// The values of the headers that are written to a forwarded request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardHeaders<'a> {
    /// The upstream that gets the request.
    pub upstream: &'a UpstreamId,
    /// The time that is left for the request.
    pub time_left: Duration,
    /// The identity of the caller.
    pub caller: &'a CallerIdentity,
}

/// The values of the headers of an upstream's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamHeaders {
    /// The identity of the request to which it responds.
    pub request_id: Option<String>,
    /// Whether the request did not run and will not run at the upstream.
    pub is_not_run: bool,
    /// Whether an incarnation other than the addressed one answered.
    pub is_other_incarnation: bool,
    /// Whether the response carries the upstream's signature.
    pub is_signed: bool,
    /// Whether an intermediary has encoded the body.
    pub is_encoded: bool,
    /// The upstream's load.
    pub load: Option<LoadReport>,
    /// The requests per second that the upstream accepts from all instances together.
    pub rate_limit: Statement<RequestRate>,
    /// How long a rejecting upstream wants no requests from this instance.
    pub retry_after: Statement<Duration>,
    /// Whether the upstream is leaving.
    pub is_draining: Statement<bool>,
}

/// A value that an upstream may state in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Statement<T> {
    /// The response states none.
    #[default]
    Absent,
    /// The response states this value.
    Valid(T),
    /// The header line is malformed or repeated.
    Unreadable,
}

/// A look-up of instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// The region of the caller.
    pub region: Option<RegionId>,
}
