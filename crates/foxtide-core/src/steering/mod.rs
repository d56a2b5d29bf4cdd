//! Chooses a region for each request, or rejects the request.
//!
//! For every service an instance holds a row: the share of requests sent to
//! each region. Planned moves are a function of the wall clock ([`planned`]);
//! all other changes step towards a target under the contract's shift cap
//! ([`shift`]). Each request must also fit the instance's allocation of the
//! region's and the link's sold rate ([`crate::limits`]).

mod admission;
mod adopt;
mod decide;
mod destinations;
mod engine;
mod known_instances;
mod limit_inputs;
mod merge;
mod name_index;
mod options;
mod origin_state;
mod planned;
mod row_band;
mod service;
mod shift;
mod spill_budget;
mod steps;
mod target;
mod view;

pub use admission::{
    Admission,
    RejectionReason, //
};
pub use engine::Steering;
pub use options::{
    PriorityOptions,
    SteeringOptions, //
};
pub use planned::PlannedRows;
pub use steps::upstream_leaves_at;
pub use view::{
    FleetView,
    InstanceReport,
    ReceivedReport,
    RegionView,
    ServiceReport,
    ServiceView,
    ViewOptions, //
};
