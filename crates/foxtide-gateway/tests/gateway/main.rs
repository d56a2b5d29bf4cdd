//! An instance between stand-ins for store, upstreams and callers.

mod admission;
mod following;
mod forwarding;
mod many;
mod stopping;
mod support;
