//! The foxtide entry instance: combines settings, store, mesh and the request
//! path into one [`node::Node`].

mod client_blocks;
pub mod command;
mod configuration;
mod event_backup;
mod instance_list;
mod load_events;
mod member_events;
pub mod node;
mod observer;
mod pages;
mod plan_events;
pub mod platform;
mod promises;
mod readiness;
pub mod signals;
mod store;
pub mod tables;
pub mod telemetry;
mod traffic;
