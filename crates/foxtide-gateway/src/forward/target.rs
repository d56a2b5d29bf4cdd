//! The upstream to which a request is sent.

use crate::admission::Slot;
use crate::state::Pick;

/// An upstream to which the request may be sent now.
pub(super) struct Target<'a> {
    pub(super) pick: Pick,
    /// The slot that is held; `None` if no coordinator knows of the request.
    pub(super) slot: Option<Slot<'a>>,
}
