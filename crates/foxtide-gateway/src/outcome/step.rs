//! The steps of a request, for its log lines.

/// What a request waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Step {
    /// It has no service yet: its quota or quarantine is checked.
    #[default]
    Entry,
    /// The choice of an upstream, or a slot there.
    Slot,
    /// The acknowledgement of an end under a request of the same content.
    Hold,
    /// The verdict on a request that has ended an upstream.
    Verdict,
    /// The response of another instance.
    PassedOn,
    /// The response of an upstream.
    Upstream,
}

impl Step {
    /// Returns the label for logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Slot => "slot",
            Self::Hold => "hold",
            Self::Verdict => "verdict",
            Self::PassedOn => "passed_on",
            Self::Upstream => "upstream",
        }
    }
}
