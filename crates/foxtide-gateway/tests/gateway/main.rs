//! Tests instances with a fake store, fake upstreams and test callers.

mod admission;
mod cut_off;
mod following;
mod forwarding;
mod homes;
mod many;
mod organisations;
mod poison;
mod poison_isolation;
mod region_demand;
mod restored;
mod small_region;
mod stopping;
mod support;
mod throttle;
mod withdrawals;
