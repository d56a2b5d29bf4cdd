//! What an instance measures of itself at one moment.

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

/// What an instance measures of one organisation at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
    /// When it was taken.
    pub taken_at: MonotonicTime,
    /// The services.
    pub services: BTreeMap<ServiceId, ServiceSample>,
    /// The regions.
    pub regions: BTreeMap<RegionId, RegionSample>,
}

/// What an instance measures of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSample {
    /// The share of the requests that goes to each region.
    pub row: BTreeMap<RegionId, Share>,
    /// The requests sent where the row plans them, since the process started.
    pub sent_planned: u64,
    /// The requests sent to another home for want of room, since the process
    /// started.
    pub sent_spilled: u64,
}

/// What an instance measures of one region.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RegionSample {
    /// The instance's part of the rate sold there, of the link to it included.
    pub allowed_rps: RequestRate,
    /// The requests sent there, since the process started.
    pub sent: u64,
}
