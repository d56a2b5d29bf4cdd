//! The outcomes of hedges.

/// What became of a second attempt beside a slow first one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HedgeEnd {
    /// Its response was delivered.
    Won,
    /// It was cancelled: the response of the first attempt was delivered, or the caller left.
    Lost,
    /// It got no usable response.
    Failed,
    /// It was not sent, as no other upstream of the region granted a slot or the request may not be
    /// sent any more.
    NoSlot,
    /// It was not sent, as the retry budget was spent.
    NoBudget,
}

impl HedgeEnd {
    /// Counts a hedge that ended.
    pub(crate) fn count(self) {
        metrics::counter!("foxtide_hedges_total", "end" => self.as_str()).increment(1);
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::Won => "won",
            Self::Lost => "lost",
            Self::Failed => "failed",
            Self::NoSlot => "no_slot",
            Self::NoBudget => "no_budget",
        }
    }
}

/// Counts a hedge that was sent when it is dropped.
#[derive(Debug)]
pub(crate) struct SentHedge {
    /// How it ended, as far as is known.
    pub(crate) end: HedgeEnd,
}

impl Default for SentHedge {
    /// A hedge whose caller leaves is lost.
    fn default() -> Self {
        let end = HedgeEnd::Lost;
        Self { end }
    }
}

impl Drop for SentHedge {
    fn drop(&mut self) {
        self.end.count();
    }
}
