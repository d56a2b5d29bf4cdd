//! Copies of an instance's events at peers.
//!
//! Instances have no disks: a replaced one takes its ring along. So each
//! streams its events above debug level to a few peers in other availability
//! zones and regions, within a budget of bytes, and keeps those of others in
//! bounded room. docs/design/time-line.md weighs this against parity.
//!
//! The order of calls: [`choose_peers`] whenever the members change, then
//! [`BackupSender::set_peers`]; [`BackupSender::poll`] about once a second;
//! the receiver passes each message to [`BackupHolder::accept`] and sends
//! back what that returns, for [`BackupSender::acknowledge`].

mod holder;
mod peers;
mod sender;

pub use holder::{
    BackupHolder,
    HolderOptions, //
};
pub use peers::{
    BackupPeer,
    choose_peers, //
};
pub use sender::{
    BATCH_OVERHEAD_BYTES,
    BackupBatch,
    BackupSender,
    SenderOptions, //
};
