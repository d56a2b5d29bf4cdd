//! Validates changes to organisations' documents and writes them to the store.
//!
//! A change is accepted if the compare-and-swap on the organisation's key succeeds.

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
