//! An instance between stand-ins for store, upstreams and callers.

mod admission;
mod following;
mod forwarding;
mod stopping;
mod support;
