//! Compresses records in bulk.
//!
//! Records are similar and compress well, which keeps the links of watchers from saturating
//! while a large fleet starts.

use super::messages::{
    Packed,
    RecordMessage, //
};
use lz4_flex::block::{
    DecompressError,
    compress,
    decompress, //
};
use prost::Message;

/// The minimum size that is compressed; smaller messages fit into a packet or two.
const PACKED_MIN_BYTES: usize = 1_024;

/// The maximum uncompressed size, above that of the whole store.
const UNPACKED_MAX_BYTES: usize = 64 * 1_024 * 1_024;

/// The message that is compressed.
#[derive(Clone, PartialEq, prost::Message)]
struct RecordsMessage {
    #[prost(message, repeated, tag = "1")]
    records: Vec<RecordMessage>,
}

/// An error of unpacking records.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UnpackError {
    /// The uncompressed size exceeds the maximum.
    #[error("packed records of {size_bytes} bytes; valid: up to {UNPACKED_MAX_BYTES}")]
    TooLarge {
        /// The uncompressed size in the message.
        size_bytes: u64,
    },
    /// The compressed data is malformed.
    #[error("{0}")]
    Compression(#[from] DecompressError),
    /// The uncompressed message is malformed.
    #[error("{0}")]
    Format(#[from] prost::DecodeError),
}

/// Packs records; returns them unchanged if they are below the minimum size.
pub(super) fn pack(records: Vec<RecordMessage>) -> Result<Packed, Vec<RecordMessage>> {
    let message = RecordsMessage { records };
    let size_bytes = message.encoded_len();
    if size_bytes < PACKED_MIN_BYTES {
        return Err(message.records);
    }
    Ok(Packed {
        size_bytes: size_bytes as u64,
        bytes: compress(&message.encode_to_vec()),
    })
}

/// Unpacks records.
///
/// # Errors
///
/// Fails if the records are too large or malformed.
pub(super) fn unpack(packed: &Packed) -> Result<Vec<RecordMessage>, UnpackError> {
    let size_bytes = packed.size_bytes;
    let size = usize::try_from(size_bytes).unwrap_or(usize::MAX);
    if size > UNPACKED_MAX_BYTES {
        return Err(UnpackError::TooLarge { size_bytes });
    }
    let bytes = decompress(&packed.bytes, size)?;
    Ok(RecordsMessage::decode(bytes.as_slice())?.records)
}

#[cfg(test)]
mod tests {
    use super::*;
    use foxtide_core::records::Record;
    use foxtide_core::store::StoreIndex;

    fn registration(number: u64) -> RecordMessage {
        let value = format!(
            "{{\"address\":\"10.64.0.{}:8080\",\"info\":{{\"service\":\"viewer\",\
             \"zone\":\"khomas-a\",\"slots\":6}},\"status\":{{\"state\":\"ready\"}}}}",
            number % 250
        );
        RecordMessage::from(Record {
            key: format!("upstream/i-{:010x}", number * 7_919),
            value: Some(value.into_bytes()),
            index: StoreIndex::new(number),
        })
    }

    #[test]
    fn verify_packed_records_round_trip_and_are_smaller() {
        let records: Vec<RecordMessage> = (0..500).map(registration).collect();
        let packed = pack(records.clone()).unwrap();
        assert!(packed.bytes.len() * 3 < packed.size_bytes as usize);
        assert_eq!(unpack(&packed).unwrap(), records);
        assert_eq!(pack(records[..2].to_vec()).unwrap_err(), records[..2]);
    }

    #[test]
    fn verify_malformed_packed_records_are_rejected() {
        let packed = |size_bytes, bytes: &[u8]| Packed {
            size_bytes,
            bytes: bytes.to_vec(),
        };
        let largest = u64::MAX;
        assert!(matches!(
            unpack(&packed(largest, b"")),
            Err(UnpackError::TooLarge { .. })
        ));
        for wrong in [
            &b"\xff\xff\xff"[..],
            b"",
            b"plain text that is not compressed",
        ] {
            assert!(unpack(&packed(2_000, wrong)).is_err());
        }
    }
}
