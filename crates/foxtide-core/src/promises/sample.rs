//! Measurements of an instance at one moment.

use crate::ids::{
    RegionId,
    ServiceId, //
};
use crate::time::MonotonicTime;
use crate::units::{
    RequestRate,
    Share, //
};
use std::collections::BTreeMap;

/// The measurements of one organisation at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
    /// The time of the sample.
    pub taken_at: MonotonicTime,
    /// The services.
    pub services: BTreeMap<ServiceId, ServiceSample>,
    /// The regions.
    pub regions: BTreeMap<RegionId, RegionSample>,
}

/// The measurements of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSample {
    /// The share of the requests that goes to each region.
    pub row: BTreeMap<RegionId, Share>,
    /// The requests sent to their planned region since the process started.
    pub sent_planned: u64,
    /// The requests spilled over to another home since the process started.
    pub sent_spilled: u64,
    /// The requests rejected since the process started.
    pub rejected: u64,
}

/// The measurements of one region.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RegionSample {
    /// The instance's part of the region's sold rate, limited by that of the link.
    pub allowed_rps: RequestRate,
    /// The requests sent there since the process started.
    pub sent: u64,
}
