//! Aggregation of load over a tree, with traffic per instance independent of the
//! size of the fleet.
//!
//! The instances of a region form a tree by rendezvous hashing. Sums propagate up
//! to the region's root, roots exchange their sums, and the table of all regions
//! propagates down the trees.

mod aggregator;
mod options;
mod record;
mod tree;
mod view;

pub use aggregator::{
    LoadAggregator,
    LoadEnvelope,
    LoadMessage, //
};
pub use options::LoadOptions;
pub use record::LoadRecord;
pub use view::ClockReading;
