//! Maps requests to services by host and path, and to organisations by API key.
//!
//! A [`RouteDocument`] is one version of the configuration; a [`RouteTable`] is its
//! index.

mod document;
mod kind;
mod organisations;
mod table;
mod weighted_round_robin;

pub use document::{
    CallerLimits,
    Route,
    RouteDocument,
    ServiceTerms,
    WeightedService, //
};
pub use kind::RequestKind;
pub use organisations::{
    ApiKey,
    OrganisationEntry,
    OrganisationTable,
    OrganisationTerms,
    Quota,
    common_homes,
    is_home, //
};
pub use table::RouteTable;
pub use weighted_round_robin::WeightedRoundRobin;
