//! Upstreams that have registered themselves, and instances that are alive.

mod asking;
mod departures;
mod incarnations;
mod members;
mod phase;
mod registered;
mod registrar;
mod registration;
mod starting;
mod table;

pub use asking::StoreAsking;
pub use members::{
    Asker,
    Member,
    Members, //
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
    UpstreamState, //
};
pub use starting::reading_wait;
pub use table::Registry;
