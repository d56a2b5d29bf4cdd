//! Defines an upstream's options and service times.

use super::load::LoadFormat;
use rand::RngExt;
use rand::rngs::StdRng;
use std::net::{
    Ipv4Addr,
    SocketAddr, //
};
use std::time::Duration;

/// Options of an [`UpstreamServer`](super::UpstreamServer).
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// The address to listen on; port 0, the default, picks a free port.
    pub address: SocketAddr,
    /// The name in its answers; `upstream` by default.
    pub name: String,
    /// The maximum number of concurrent requests; 4 by default.
    pub slots: u32,
    /// The maximum number of requests waiting for a slot; 8 by default.
    pub queue: u32,
    /// The maximum number of open connections; 360 by default.
    pub connections: u32,
    /// How long a request occupies its slot; 1 ms by default.
    pub service_time: ServiceTime,
    /// The slowdown after a start; none by default.
    pub cold_start: ColdStart,
    /// The padding in each answer, in bytes; 0 by default.
    pub answer_bytes: usize,
    /// The encoding of load reports; JSON by default.
    pub load_format: LoadFormat,
    /// The seed for random service times; 1 by default.
    pub seed: u64,
}

impl Default for UpstreamOptions {
    fn default() -> Self {
        Self {
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            name: "upstream".to_owned(),
            slots: 4,
            queue: 8,
            connections: 360,
            service_time: ServiceTime::Fixed(Duration::from_millis(1)),
            cold_start: ColdStart::default(),
            answer_bytes: 0,
            load_format: LoadFormat::default(),
            seed: 1,
        }
    }
}

/// How long a request occupies its slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceTime {
    /// A constant time.
    Fixed(Duration),
    /// A time drawn from an exponential distribution.
    Exponential {
        /// The mean of the distribution.
        mean: Duration,
    },
}

impl ServiceTime {
    /// Returns the service time of the next request.
    pub(super) fn draw(self, rng: &mut StdRng) -> Duration {
        match self {
            Self::Fixed(time) => time,
            Self::Exponential { mean } => {
                let uniform: f64 = rng.random();
                mean.mul_f64(-(1.0 - uniform).ln())
            }
        }
    }
}

/// The slowdown of an upstream until its caches are warm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// The factor on the first request's service time; 1 by default.
    pub slowdown: f64,
    /// The number of requests over which the factor falls linearly to 1.
    pub warm_after_requests: u64,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            warm_after_requests: 0,
        }
    }
}

impl ColdStart {
    /// Returns the service time factor after `ran` requests.
    pub(super) fn factor(self, ran: u64) -> f64 {
        if ran >= self.warm_after_requests {
            return 1.0;
        }
        let cold_part = 1.0 - ran as f64 / self.warm_after_requests as f64;
        1.0 + (self.slowdown - 1.0) * cold_part
    }
}
