//! Summing of load over a tree, so that each instance sends and receives a
//! bounded amount whatever the size of the fleet.
//!
//! The instances of a region form a tree by rendezvous hash. Sums go up to the
//! region's root; the regions' roots tell one another; the table of all regions
//! goes down the same trees.

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
