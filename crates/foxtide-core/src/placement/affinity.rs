//! The order of upstreams for an object: weighted rendezvous hashing.

use crate::ids::UpstreamId;
use std::cmp::Ordering;
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

/// The identity of an object within a service, as a hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ObjectKey(u64);

impl ObjectKey {
    /// Returns the key of an object by its name.
    pub fn new(name: &[u8]) -> Self {
        Self(xxh3_64(name))
    }

    /// Returns a key that stands for no object, from a random draw.
    pub fn random(draw: u64) -> Self {
        Self(draw)
    }
}

/// An upstream that could serve a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The upstream.
    pub upstream: &'a UpstreamId,
    /// Its part of the objects against the other candidates' parts.
    pub weight: f64,
}

/// Returns the indices of `candidates`, the first choice first.
///
/// When a candidate comes or goes only its own objects move. The chance of a
/// candidate to be the first is its share of the weights (Schindelhauer and
/// Schomaker, "Weighted distributed hash tables", 2005, logarithmic method).
pub fn rank(key: ObjectKey, candidates: &[Candidate<'_>]) -> Vec<usize> {
    let distances: Vec<f64> = candidates
        .iter()
        .map(|candidate| distance(key, candidate))
        .collect();
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by(|&one, &other| {
        let compared = distances[one].partial_cmp(&distances[other]);
        compared.unwrap_or(Ordering::Equal)
    });
    order
}

/// Returns an exponential draw with the candidate's weight as its rate.
fn distance(key: ObjectKey, candidate: &Candidate<'_>) -> f64 {
    const BITS: u32 = 53;
    if candidate.weight <= 0.0 {
        return f64::MAX;
    }
    let hash = xxh3_64_with_seed(candidate.upstream.as_str().as_bytes(), key.0);
    // In (0, 1): 53 bits are what a float holds exactly.
    let uniform = ((hash >> (64 - BITS)) as f64 + 0.5) / (1_u64 << BITS) as f64;
    -uniform.ln() / candidate.weight
}
