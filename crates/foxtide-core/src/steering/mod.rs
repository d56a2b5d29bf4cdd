//! Decides in which region each request is served, and whether it is.
//!
//! Look-ups only name entry instances near the caller. Traffic moves between
//! regions by the choice made for each request: for every service an instance
//! holds a row of shares over the home regions. Planned movement is a function
//! of the wall clock ([`planned`]); everything else follows its target under
//! the contract's shift cap ([`shift`]). What a row sends to a region then has
//! to pass the instance's part of the region's and the link's sold rate
//! ([`crate::limits`]).

mod admission;
mod adopt;
mod decide;
mod destinations;
mod engine;
mod flows;
mod known_instances;
mod limit_inputs;
mod merge;
mod name_index;
mod options;
mod planned;
mod row_band;
mod service;
mod shift;
mod steps;
mod target;
mod view;

pub use admission::{
    Admission,
    RefusalReason, //
};
pub use engine::Steering;
pub use options::{
    PriorityOptions,
    SteeringOptions, //
};
pub use planned::PlannedRows;
pub use steps::leaves_at_us;
pub use view::{
    FleetView,
    InstanceReport,
    ReceivedReport,
    RegionView,
    ServiceReport,
    ServiceView,
    ViewOptions, //
};
