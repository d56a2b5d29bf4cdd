//! How an upstream behaves when nothing is wrong with it.

use super::load::LoadFormat;
use rand::RngExt;
use rand::rngs::StdRng;
use std::net::{
    Ipv4Addr,
    SocketAddr, //
};
use std::time::Duration;

/// How an [`UpstreamServer`](super::UpstreamServer) starts.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Where it listens; port 0, the default, lets the system choose.
    pub address: SocketAddr,
    /// The name that its answers carry; `upstream` by default.
    pub name: String,
    /// How many requests it runs at the same time; 4 by default.
    pub slots: u32,
    /// How many requests may wait for a slot before it sheds; 8 by default.
    pub queue: u32,
    /// How many connections it keeps; 360 by default.
    pub connections: u32,
    /// How long a request holds its slot; 1 ms by default.
    pub service_time: ServiceTime,
    /// How much slower it is at first; not at all by default.
    pub cold_start: ColdStart,
    /// How many bytes of padding an answer carries; none by default.
    pub answer_bytes: usize,
    /// How its answers report load; JSON by default.
    pub load_format: LoadFormat,
    /// The seed of what comes by chance; 1 by default.
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

/// How long a request holds its slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceTime {
    /// Always the same.
    Fixed(Duration),
    /// Drawn from an exponential distribution.
    Exponential {
        /// The distribution's mean.
        mean: Duration,
    },
}

impl ServiceTime {
    /// Returns the time of the next request.
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

/// How much slower an upstream is until its caches are warm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// The factor on the service time of the first request; 1 by default.
    pub slowdown: f64,
    /// How many requests warm it; the factor falls evenly until then.
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
    /// Returns the factor on the service time after `ran` requests.
    pub(super) fn factor(self, ran: u64) -> f64 {
        if ran >= self.warm_after_requests {
            return 1.0;
        }
        let cold_part = 1.0 - ran as f64 / self.warm_after_requests as f64;
        1.0 + (self.slowdown - 1.0) * cold_part
    }
}
