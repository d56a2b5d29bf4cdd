//! Which service a request belongs to, by its host and path.
//!
//! A [`RouteDocument`] is one version of the operators' configuration; a
//! [`RouteTable`] answers look-ups in it.

mod document;
mod split;
mod table;

pub use document::{
    CallerLimits,
    Route,
    RouteDocument,
    ServiceTerms,
    WeightedService, //
};
pub use split::SplitCounter;
pub use table::RouteTable;
