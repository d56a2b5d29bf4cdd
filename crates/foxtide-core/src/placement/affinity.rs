//! Ranks upstreams for an object by weighted rendezvous hashing.

use crate::ids::UpstreamId;
use crate::routing::RequestKind;
use std::fmt;
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

/// Hash that identifies an object within a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectKey(u64);

impl ObjectKey {
    /// Returns the key of the object `name`.
    pub fn new(name: &[u8]) -> Self {
        Self(xxh3_64(name))
    }

    /// Returns the key of the object `name` for requests of one kind. Upstreams cache an object
    /// separately for each kind of request.
    pub fn of_kind(kind: RequestKind, name: &[u8]) -> Self {
        Self(xxh3_64_with_seed(name, kind.hash()))
    }

    /// Returns a random key for a request without an object.
    pub fn random(draw: u64) -> Self {
        Self(draw)
    }

    /// Returns the key with a hash from another instance.
    pub fn from_hash(hash: u64) -> Self {
        Self(hash)
    }

    /// Returns the hash, for other instances.
    pub fn hash(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ObjectKey {
    /// Writes the key as 16 hexadecimal digits.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// An upstream that could serve a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    name_hash: u64,
    /// Share of the objects, relative to the weights of the other candidates.
    weight: f64,
}

impl Candidate {
    /// Returns the candidate for an upstream.
    pub fn new(upstream: &UpstreamId, weight: f64) -> Self {
        Self {
            name_hash: xxh3_64(upstream.as_str().as_bytes()),
            weight,
        }
    }
}

/// Returns the indices of `candidates`, the first choice first.
///
/// When a candidate is added or removed, only its own objects move. A candidate's
/// probability of being first is its share of the weights (Schindelhauer and Schomaker,
/// "Weighted distributed hash tables", 2005, logarithmic method).
pub fn rank(key: ObjectKey, candidates: &[Candidate]) -> Vec<usize> {
    first_choices(key, candidates, candidates.len())
}

/// Returns the first `count` results of [`rank`] without sorting the others.
pub fn first_choices(key: ObjectKey, candidates: &[Candidate], count: usize) -> Vec<usize> {
    let distances = candidates.iter().map(|candidate| distance(key, candidate));
    let mut order: Vec<(f64, usize)> = distances
        .enumerate()
        .map(|(index, distance)| (distance, index))
        .collect();
    let by_distance = |one: &(f64, usize), other: &(f64, usize)| one.0.total_cmp(&other.0);
    if count < order.len() {
        order.select_nth_unstable_by(count, by_distance);
        order.truncate(count);
    }
    order.sort_by(by_distance);
    order.into_iter().map(|(_, index)| index).collect()
}

/// Returns an exponentially distributed value with the candidate's weight as its rate.
fn distance(key: ObjectKey, candidate: &Candidate) -> f64 {
    let hash = xxh3_64_with_seed(&candidate.name_hash.to_le_bytes(), key.0);
    weighted_distance(hash, candidate.weight)
}

/// Returns the exponentially distributed value of a hash, with `weight` as its rate. The candidate
/// with the least value is the first choice.
pub(crate) fn weighted_distance(hash: u64, weight: f64) -> f64 {
    const BITS: u32 = 53;
    if weight <= 0.0 {
        return f64::MAX;
    }
    // In (0, 1); an `f64` holds 53 bits exactly.
    let uniform = ((hash >> (64 - BITS)) as f64 + 0.5) / (1_u64 << BITS) as f64;
    -uniform.ln() / weight
}
