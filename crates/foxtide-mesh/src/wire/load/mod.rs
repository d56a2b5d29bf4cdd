//! Wire format of load records.
//!
//! Each message holds a table of names; records refer to names by index.

mod read;
mod write;

pub(crate) use read::read_load;

/// The encoded value of the share 1.0.
const SHARE_SCALE: u16 = u16::MAX;

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Load {
    /// Whether the records are the table of regions or the sender's sum.
    #[prost(bool, tag = "1")]
    pub(crate) is_table: bool,
    #[prost(string, repeated, tag = "2")]
    pub(crate) names: Vec<String>,
    #[prost(message, repeated, tag = "3")]
    pub(crate) records: Vec<Record>,
}

/// The summed reports of instances of a region for one organisation.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Record {
    #[prost(uint32, tag = "1")]
    pub(crate) organisation: u32,
    #[prost(uint32, tag = "2")]
    pub(crate) region: u32,
    #[prost(uint64, tag = "3")]
    pub(crate) summed_at_us: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) oldest_age_us: u64,
    #[prost(uint64, tag = "5")]
    pub(crate) live_age_us: u64,
    #[prost(uint32, tag = "6")]
    pub(crate) counted_instances: u32,
    #[prost(uint32, tag = "7")]
    pub(crate) live_instances: u32,
    #[prost(message, repeated, tag = "8")]
    pub(crate) services: Vec<Service>,
    #[prost(uint32, repeated, tag = "9")]
    pub(crate) limit_regions: Vec<u32>,
    #[prost(float, repeated, tag = "10")]
    pub(crate) planned_rps: Vec<f32>,
    /// Empty if all values are zero.
    #[prost(float, repeated, tag = "11")]
    pub(crate) spilled_rps: Vec<f32>,
    #[prost(uint32, repeated, tag = "12")]
    pub(crate) region_sharers: Vec<u32>,
    #[prost(uint32, repeated, tag = "13")]
    pub(crate) link_sharers: Vec<u32>,
    #[prost(message, repeated, tag = "14")]
    pub(crate) foreign: Vec<Foreign>,
}

/// The part of a record about callers of another region.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Foreign {
    #[prost(uint32, tag = "1")]
    pub(crate) region: u32,
    #[prost(message, repeated, tag = "2")]
    pub(crate) services: Vec<Service>,
}

/// The part of a record about one service.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Service {
    #[prost(uint32, tag = "1")]
    pub(crate) service: u32,
    #[prost(uint32, tag = "2")]
    pub(crate) instances: u32,
    #[prost(float, tag = "3")]
    pub(crate) demand_rps: f32,
    /// In units of 1 / [`SHARE_SCALE`].
    #[prost(uint32, optional, tag = "4")]
    pub(crate) healthy: Option<u32>,
    #[prost(uint32, repeated, tag = "5")]
    pub(crate) row_regions: Vec<u32>,
    /// Little-endian `u16` values in units of 1 / [`SHARE_SCALE`].
    #[prost(bytes = "vec", tag = "6")]
    pub(crate) row: Vec<u8>,
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::invalid_message::InvalidMessage;
    use foxtide_core::dissemination::{
        LoadMessage,
        LoadRecord, //
    };
    use foxtide_core::ids::{
        RegionId,
        ServiceId, //
    };
    use foxtide_core::limits::{
        Claim,
        LimitUse, //
    };
    use foxtide_core::steering::{
        RegionView,
        ServiceView, //
    };
    use foxtide_core::time::WallTime;
    use foxtide_core::units::{
        RequestRate,
        Share, //
    };

    fn record() -> LoadRecord {
        let region: RegionId = "khomas".parse().unwrap();
        let share = |value| Share::new(value).unwrap();
        let rate = |value| RequestRate::new(value).unwrap();
        let service = ServiceView {
            instances: 2,
            demand_rps: rate(0.1),
            healthy_share: Some(share(0.5)),
            row: [(region.clone(), share(1.0))].into(),
        };
        let limit = LimitUse {
            claim: Claim {
                planned_rps: rate(0.1),
                spilled_rps: rate(1e9 + 0.3),
            },
            region_sharers: 2,
            link_sharers: 1,
        };
        let viewer: ServiceId = "viewer".parse().unwrap();
        let foreign = [(viewer.clone(), service.clone())].into();
        LoadRecord {
            organisation: "hamutenya".parse().unwrap(),
            region: region.clone(),
            summed_at: WallTime::from_us(9_000),
            oldest_at: WallTime::from_us(4_000),
            oldest_live_at: WallTime::from_us(8_000),
            sum: RegionView {
                counted_instances: 3,
                live_instances: 2,
                services: [(viewer, service)].into(),
                foreign: [("erongo".parse().unwrap(), foreign)].into(),
                limits: [(region, limit)].into(),
                ..RegionView::default()
            },
        }
    }

    #[test]
    fn verify_claims_never_shrink_in_transit() {
        let sent = record();
        let message = Load::from(&LoadMessage::Table(vec![sent.clone()]));
        let LoadMessage::Table(read) = read_load(&message).unwrap() else {
            panic!("a table was sent");
        };
        let pairs = sent.sum.limits.values().zip(read[0].sum.limits.values());
        for (sent, read) in pairs {
            assert!(read.claim.planned_rps >= sent.claim.planned_rps);
            assert!(read.claim.spilled_rps >= sent.claim.spilled_rps);
            assert_eq!(read.region_sharers, sent.region_sharers);
            assert_eq!(read.link_sharers, sent.link_sharers);
        }
        assert!(read[0].sum.foreign.keys().eq(sent.sum.foreign.keys()));
        assert_eq!(read[0].oldest_at, sent.oldest_at);
        assert_eq!(read[0].oldest_live_at, sent.oldest_live_at);
        assert_eq!(read[0].sum.live_instances, 2);
        assert_eq!(Load::from(&LoadMessage::Table(read)), message);
    }

    #[test]
    fn verify_records_with_unknown_names_are_unreadable() {
        let mut message = Load::from(&LoadMessage::Sum(vec![record()]));
        message.names.pop();
        assert_eq!(read_load(&message), Err(InvalidMessage));
    }
}
