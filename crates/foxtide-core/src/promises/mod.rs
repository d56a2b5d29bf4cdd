//! Whether what was promised holds, as one instance sees it.
//!
//! The caller takes a [`Sample`] of an organisation about every second and
//! hands it to a [`PromiseMonitor`], which compares it with the contract and keeps
//! the worst of the last hour.

mod hourly_maximum;
mod monitor;
mod sample;

pub use monitor::{
    Promise,
    PromiseKind,
    PromiseMonitor, //
};
pub use sample::{
    RegionSample,
    Sample,
    ServiceSample, //
};
