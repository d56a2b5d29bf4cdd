//! The messages between instances; the attributes are what a generator would
//! have written from their schema.

use crate::datagram::QuarantineMessage;
use foxtide_core::ids::InstanceId;
use foxtide_core::records::Record;
use foxtide_core::registry::Member;
use foxtide_core::store::StoreIndex;
use std::net::AddrParseError;

/// Asks for what has changed in the store.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ChangesRequest {
    /// The index up to which the asker knows the store.
    #[prost(uint64, optional, tag = "1")]
    pub(super) after: Option<u64>,
    /// How long the answer may wait for a change.
    #[prost(uint32, tag = "2")]
    pub(super) wait_ms: u32,
    /// Whether the asker reads large changes from the store itself.
    #[prost(bool, tag = "3")]
    pub(super) fetches_large: bool,
    /// Whether the asker takes everything from one that the store does not answer.
    #[prost(bool, tag = "4")]
    pub(super) accepts_stale: bool,
    /// The asker, where its record is to be kept, or removed.
    #[prost(message, optional, tag = "5")]
    pub(super) announcement: Option<MemberMessage>,
    /// Whether the asker is leaving.
    #[prost(bool, tag = "6")]
    pub(super) is_leaving: bool,
    /// The era of the store in which `after` is.
    #[prost(uint64, tag = "7")]
    pub(super) after_era: u64,
    /// The version of the configuration that is in force at the asker; 0 for none.
    #[prost(uint64, tag = "8")]
    pub(super) version: u64,
    /// The asker's configuration, where the one it was last told is older.
    #[prost(message, optional, tag = "9")]
    pub(super) configuration: Option<RecordMessage>,
    /// Whether the asker reads packed records; an older one does not.
    #[prost(bool, tag = "10")]
    pub(super) reads_packed: bool,
}

impl ChangesRequest {
    /// Returns the position up to which the asker knows the store.
    pub(super) fn position(&self) -> Option<StoreIndex> {
        let after = self.after?;
        Some(StoreIndex::new(after).in_era(self.after_era))
    }
}

/// An instance.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct MemberMessage {
    #[prost(string, tag = "1")]
    instance: String,
    #[prost(string, tag = "2")]
    caller_address: String,
    #[prost(string, tag = "3")]
    peer_address: String,
    #[prost(string, tag = "4")]
    datagram_address: String,
    #[prost(string, tag = "5")]
    availability_zone: String,
    #[prost(string, tag = "6")]
    region: String,
    #[prost(uint32, tag = "7")]
    link_mbps: u32,
}

impl From<&Member> for MemberMessage {
    fn from(member: &Member) -> Self {
        Self {
            instance: member.instance.to_string(),
            caller_address: member.caller_address.to_string(),
            peer_address: member.peer_address.to_string(),
            datagram_address: member.datagram_address.to_string(),
            availability_zone: member.availability_zone.to_string(),
            region: member.region.to_string(),
            link_mbps: member.link_mbps,
        }
    }
}

impl MemberMessage {
    /// Returns the instance as one whose record `registrar` keeps.
    ///
    /// # Errors
    ///
    /// Fails where a name or an address is not in its form.
    pub(super) fn member(&self, registrar: &InstanceId) -> Result<Member, MemberMessageError> {
        Ok(Member {
            instance: self.instance.parse()?,
            caller_address: self.caller_address.parse()?,
            peer_address: self.peer_address.parse()?,
            datagram_address: self.datagram_address.parse()?,
            availability_zone: self.availability_zone.parse()?,
            region: self.region.parse()?,
            registrar: Some(registrar.clone()),
            link_mbps: self.link_mbps,
        })
    }
}

/// What is wrong with the message of an instance.
#[derive(Debug, thiserror::Error)]
pub(super) enum MemberMessageError {
    /// A name is not in its form.
    #[error("{0}")]
    Name(#[from] foxtide_core::Error),
    /// An address is not in its form.
    #[error("{0}")]
    Address(#[from] AddrParseError),
}

/// What has changed, or all that there is.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ChangesResponse {
    /// Whether the store answers this instance itself.
    #[prost(bool, tag = "1")]
    pub(super) is_current: bool,
    /// Whether the records are all that the store holds.
    #[prost(bool, tag = "2")]
    pub(super) is_full: bool,
    /// The index at which the records are complete.
    #[prost(uint64, tag = "3")]
    pub(super) index: u64,
    /// The records, in the order of their indices.
    #[prost(message, repeated, tag = "4")]
    pub(super) records: Vec<RecordMessage>,
    /// Whether there are records that the asker reads from the store itself; none is
    /// told then.
    #[prost(bool, tag = "5")]
    pub(super) is_too_large: bool,
    /// The era of the store in which `index` is.
    #[prost(uint64, tag = "6")]
    pub(super) era: u64,
    /// The version of the configuration that is in force here; 0 for none.
    #[prost(uint64, tag = "7")]
    pub(super) version: u64,
    /// The configuration, where the asker's is older and the records do not bring it: the
    /// store may have lost it.
    #[prost(message, optional, tag = "8")]
    pub(super) configuration: Option<RecordMessage>,
    /// The records, where they are packed; none stands outside then.
    #[prost(message, optional, tag = "9")]
    pub(super) packed: Option<Packed>,
    /// The quarantined requests that the store is not known to hold.
    #[prost(message, repeated, tag = "10")]
    pub(super) quarantine: Vec<QuarantineMessage>,
}

/// Records in bulk, compressed.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Packed {
    /// Their size before.
    #[prost(uint64, tag = "1")]
    pub(super) size_bytes: u64,
    /// The compressed bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub(super) bytes: Vec<u8>,
}

/// A key of the store.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct RecordMessage {
    #[prost(string, tag = "1")]
    key: String,
    /// Absent where the key was removed.
    #[prost(bytes = "vec", optional, tag = "2")]
    value: Option<Vec<u8>>,
    #[prost(uint64, tag = "3")]
    index: u64,
    /// The era of the store in which `index` is.
    #[prost(uint64, tag = "4")]
    era: u64,
}

impl From<Record> for RecordMessage {
    fn from(record: Record) -> Self {
        Self {
            key: record.key,
            value: record.value,
            index: record.index.get(),
            era: record.index.era(),
        }
    }
}

impl From<RecordMessage> for Record {
    fn from(message: RecordMessage) -> Self {
        Self {
            key: message.key,
            value: message.value,
            index: StoreIndex::new(message.index).in_era(message.era),
        }
    }
}
