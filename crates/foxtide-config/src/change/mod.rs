//! How a change to an organisation's document is checked and accepted.
//!
//! Accepted means: the store's compare-and-swap on the organisation's one key
//! succeeded. docs/design/configuration-changes.md weighs the ways.

mod accept;
mod codec;
mod diff;
mod error;
mod rebase;

pub use accept::{
    AcceptedChange,
    ChangeRequest,
    StoredDocument,
    accept,
    differences,
    load,
    load_all, //
};
pub use codec::{
    ORGANISATION_PREFIX,
    decode,
    encode,
    key_of, //
};
pub use diff::Difference;
pub use error::{
    ChangeError,
    Conflict, //
};
pub use rebase::accept_rebased;

pub use crate::validate::check;
