//! An instance between stand-ins for store, upstreams and callers.

mod following;
mod forwarding;
mod stopping;
mod support;
