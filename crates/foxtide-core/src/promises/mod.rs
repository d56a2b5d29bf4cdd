//! Whether what was promised holds, as one instance sees it.
//!
//! The caller takes a [`Sample`] of an organisation about every second and
//! hands it to a [`PromiseLog`], which compares it with the contract and keeps
//! the worst of the last hour.

mod log;
mod sample;
mod worst;

pub use log::{
    Promise,
    PromiseKind,
    PromiseLog, //
};
pub use sample::{
    RegionSample,
    Sample,
    ServiceSample, //
};
