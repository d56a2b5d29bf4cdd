//! The outcomes of trying the second choice of an object.

/// Whether the second choice of an object serves the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum SecondChoice {
    /// The first choice had a slot, or the request is a retry.
    #[default]
    NotAsked,
    /// The region has no other upstream that is warm and not ejected.
    Missing,
    /// It has no slot free.
    Busy,
    /// It serves the request.
    Granted,
}

impl SecondChoice {
    /// Returns the label for logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotAsked => "not_asked",
            Self::Missing => "missing",
            Self::Busy => "busy",
            Self::Granted => "granted",
        }
    }
}
