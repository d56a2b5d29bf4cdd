//! The error of messages that cannot be read.

/// A message that cannot be read.
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
