//! Where a request may be sent.

use crate::admission::Slot;
use crate::state::Pick;

/// An upstream that the request may be sent to now.
pub(super) struct Target<'a> {
    /// The upstream.
    pub(super) pick: Pick,
    /// The slot that is held; nothing where no coordinator knows of the request.
    pub(super) slot: Option<Slot<'a>>,
}
