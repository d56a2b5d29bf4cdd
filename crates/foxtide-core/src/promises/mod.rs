//! Monitors whether an instance keeps the promises of contracts.
//!
//! The caller passes a [`Sample`] of an organisation about once a second to a
//! [`PromiseMonitor`], which compares it with the contract and keeps the largest
//! violation of the last hour.

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
