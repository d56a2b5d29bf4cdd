//! The decoding error of the wire format.

/// A message cannot be decoded or holds invalid values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InvalidMessage;

impl From<foxtide_core::Error> for InvalidMessage {
    fn from(_: foxtide_core::Error) -> Self {
        Self
    }
}

impl From<prost::DecodeError> for InvalidMessage {
    fn from(_: prost::DecodeError) -> Self {
        Self
    }
}
