//! Replication of an instance's events to peers.
//!
//! Instances have no disks, so events would be lost with their instance. Each
//! instance streams its events above debug level to a few peers in other
//! availability zones and regions, within a bandwidth limit, and stores those of
//! others in bounded memory.
//!
//! Callers pass the result of [`choose_peers`] to [`BackupSender::set_peers`]
//! whenever the members change, and call [`BackupSender::poll`] about once per
//! second. Receivers pass each message to [`BackupHolder::accept`] and return its
//! result for [`BackupSender::acknowledge`].

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
