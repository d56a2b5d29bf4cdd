//! What became of an object's second choice.

/// What became of the upstream that may serve a request in place of the object's own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum SecondChoice {
    /// The object's own upstream had room, or the request had been sent before.
    #[default]
    NotAsked,
    /// The region has no other upstream that is warm and not ejected.
    Missing,
    /// It has no slot free.
    Busy,
    /// It got the request.
    Granted,
}

impl SecondChoice {
    /// Returns the end as it stands in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotAsked => "not_asked",
            Self::Missing => "missing",
            Self::Busy => "busy",
            Self::Granted => "granted",
        }
    }
}
