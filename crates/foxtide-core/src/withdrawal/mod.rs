//! Upstreams that have told this instance to send them nothing.
//!
//! An upstream that rejects a request may ask its sender for rest, and one that is leaving says
//! so in its responses. Either binds the instance that was told, a rest until its time has
//! passed, a drain until the upstream starts anew; neither a registration nor a later response
//! ends it.

mod table;

pub(crate) use table::REST_MAX;
pub use table::{
    Withdrawal,
    Withdrawals, //
};
