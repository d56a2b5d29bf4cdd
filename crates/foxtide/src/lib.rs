//! The entry instance of foxtide: wires settings, store, mesh and the request
//! path into one [`node::Node`].

pub mod command;
pub mod signals;
pub mod telemetry;
