//! Protobuf messages of the relay between instances.

use crate::datagram::QuarantineMessage;
use foxtide_core::ids::InstanceId;
use foxtide_core::records::Record;
use foxtide_core::registry::Member;
use foxtide_core::store::StoreIndex;
use std::net::AddrParseError;

/// A query for changes of the store.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ChangesRequest {
    /// The index up to which the client knows the store.
    #[prost(uint64, optional, tag = "1")]
    pub(super) after: Option<u64>,
    /// How long the response may wait for a change.
    #[prost(uint32, tag = "2")]
    pub(super) wait_ms: u32,
    /// Whether the client reads large changes from the store itself.
    #[prost(bool, tag = "3")]
    pub(super) fetches_large: bool,
    /// Whether the client accepts state from a peer that does not follow the store.
    #[prost(bool, tag = "4")]
    pub(super) accepts_stale: bool,
    /// The client, if its record is to be written or removed.
    #[prost(message, optional, tag = "5")]
    pub(super) announcement: Option<MemberMessage>,
    /// Whether the record is to be removed.
    #[prost(bool, tag = "6")]
    pub(super) is_leaving: bool,
    /// The store era of `after`.
    #[prost(uint64, tag = "7")]
    pub(super) after_era: u64,
    /// The version of the client's configuration; 0 for none.
    #[prost(uint64, tag = "8")]
    pub(super) version: u64,
    /// The client's configuration, if the peer last had an older one.
    #[prost(message, optional, tag = "9")]
    pub(super) configuration: Option<RecordMessage>,
    /// Whether the client supports packed records; older versions do not.
    #[prost(bool, tag = "10")]
    pub(super) reads_packed: bool,
    /// Whether the client reads responses in parts; older versions do not.
    #[prost(bool, tag = "11")]
    pub(super) reads_parts: bool,
    /// Whether a peer that starts itself may answer as soon as it has a copy.
    #[prost(bool, tag = "12")]
    pub(super) waits_for_copy: bool,
}

impl ChangesRequest {
    /// Returns the index up to which the client knows the store.
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
    #[prost(bool, tag = "8")]
    is_cut_off: bool,
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
            is_cut_off: member.is_cut_off,
        }
    }
}

impl MemberMessage {
    /// Returns the instance with `registrar` as the writer of its record.
    ///
    /// # Errors
    ///
    /// Fails if a name or an address is malformed.
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
            is_cut_off: self.is_cut_off,
        })
    }
}

/// An error in the message of an instance.
#[derive(Debug, thiserror::Error)]
pub(super) enum MemberMessageError {
    /// A name is malformed.
    #[error("{0}")]
    Name(#[from] foxtide_core::Error),
    /// An address is malformed.
    #[error("{0}")]
    Address(#[from] AddrParseError),
}

/// Changes of the store, or its whole contents.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ChangesResponse {
    /// Whether this instance follows the store.
    #[prost(bool, tag = "1")]
    pub(super) is_current: bool,
    /// Whether the records are the whole contents of the store.
    #[prost(bool, tag = "2")]
    pub(super) is_full: bool,
    /// The index at which the records are complete.
    #[prost(uint64, tag = "3")]
    pub(super) index: u64,
    /// The records in index order.
    #[prost(message, repeated, tag = "4")]
    pub(super) records: Vec<RecordMessage>,
    /// Whether the changes are too large, so that the client has to read them from the store
    /// and `records` is empty.
    #[prost(bool, tag = "5")]
    pub(super) is_too_large: bool,
    /// The store era of `index`.
    #[prost(uint64, tag = "6")]
    pub(super) era: u64,
    /// The version of the configuration in force at this instance; 0 for none.
    #[prost(uint64, tag = "7")]
    pub(super) version: u64,
    /// The configuration, if the client's is older and the store has lost the new one.
    #[prost(message, optional, tag = "8")]
    pub(super) configuration: Option<RecordMessage>,
    /// The packed records; `records` is empty then.
    #[prost(message, optional, tag = "9")]
    pub(super) packed: Option<Packed>,
    /// The quarantined requests that the store may lack.
    #[prost(message, repeated, tag = "10")]
    pub(super) quarantine: Vec<QuarantineMessage>,
    /// Whether this is a part that holds only records; the last message holds the rest.
    #[prost(bool, tag = "11")]
    pub(super) has_more: bool,
    /// Whether this instance sends as many copies of the contents as its link carries.
    #[prost(bool, tag = "12")]
    pub(super) is_busy: bool,
}

/// Compressed records.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Packed {
    /// The uncompressed size.
    #[prost(uint64, tag = "1")]
    pub(super) size_bytes: u64,
    /// The compressed bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub(super) bytes: Vec<u8>,
}

/// A record of a key of the store.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct RecordMessage {
    #[prost(string, tag = "1")]
    key: String,
    /// Absent if the key was removed.
    #[prost(bytes = "vec", optional, tag = "2")]
    value: Option<Vec<u8>>,
    #[prost(uint64, tag = "3")]
    index: u64,
    /// The store era of `index`.
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
