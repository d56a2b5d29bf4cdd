//! The messages between instances; the attributes are what a generator would
//! have written from their schema.

use foxtide_core::records::Record;
use foxtide_core::store::StoreIndex;

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
    pub(super) reads_large: bool,
    /// Whether the asker takes everything from one that the store does not answer.
    #[prost(bool, tag = "4")]
    pub(super) takes_old: bool,
}

/// What has changed, or all that there is.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ChangesResponse {
    /// Whether the store answers this instance itself.
    #[prost(bool, tag = "1")]
    pub(super) is_current: bool,
    /// Whether the records are all that the store holds.
    #[prost(bool, tag = "2")]
    pub(super) is_everything: bool,
    /// The index at which the records are complete.
    #[prost(uint64, tag = "3")]
    pub(super) index: u64,
    /// The records, in the order of their indices.
    #[prost(message, repeated, tag = "4")]
    pub(super) records: Vec<RecordMessage>,
    /// Whether there are records that the asker reads from the store itself; none is
    /// told then.
    #[prost(bool, tag = "5")]
    pub(super) is_large: bool,
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
}

impl From<Record> for RecordMessage {
    fn from(record: Record) -> Self {
        Self {
            key: record.key,
            value: record.value,
            index: record.index.get(),
        }
    }
}

impl From<RecordMessage> for Record {
    fn from(message: RecordMessage) -> Self {
        Self {
            key: message.key,
            value: message.value,
            index: StoreIndex::new(message.index),
        }
    }
}
