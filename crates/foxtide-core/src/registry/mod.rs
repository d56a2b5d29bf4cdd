//! Registered upstreams and live instances, as the store reports them.

mod departures;
mod follow_pace;
mod follower_backoff;
mod incarnations;
mod members;
mod phase;
mod registered;
mod registrar;
mod registration;
mod startup;
mod table;

pub use follow_pace::FollowPace;
pub use follower_backoff::FollowerBackoff;
pub use members::{
    Member,
    Members,
    Requester, //
};
pub use phase::{
    REGISTRATION_GRACE,
    StorePhase, //
};
pub use registered::{
    Registered,
    RegistryChange, //
};
pub use registrar::{
    RecordChanges,
    Registrar, //
};
pub use registration::{
    Registration,
    SLOTS_MAX,
    UpstreamState, //
};
pub use startup::{
    SourceListing,
    Startup,
    StartupOptions,
    StartupStep, //
};
pub use table::Registry;
