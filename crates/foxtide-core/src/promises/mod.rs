//! Monitoring of contract promises by one instance.
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
