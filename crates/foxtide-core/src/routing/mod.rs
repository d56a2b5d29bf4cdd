//! Which service a request belongs to, by its host and path, and whose it is, by its key.
//!
//! A [`RouteDocument`] is one version of the operators' configuration; a
//! [`RouteTable`] answers look-ups in it.

mod document;
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
pub use organisations::{
    ApiKey,
    OrganisationEntry,
    OrganisationTable,
    OrganisationTerms,
    Quota,
    common_homes, //
};
pub use table::RouteTable;
pub use weighted_round_robin::WeightedRoundRobin;
