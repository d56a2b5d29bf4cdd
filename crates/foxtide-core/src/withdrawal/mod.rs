//! Upstreams that have told this instance to send them nothing.
//!
//! An upstream that rejects a request may ask its sender for rest. The rest binds the instance
//! that was told, until its time has passed or the upstream starts anew; neither a registration
//! nor a later response ends it.

mod table;

pub use table::{
    Withdrawal,
    Withdrawals, //
};
