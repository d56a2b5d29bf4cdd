//! Draws Poisson-distributed counts.

use rand::RngExt;
use rand::rngs::StdRng;

/// Draws a Poisson-distributed count (Knuth's multiplication method).
pub(super) fn poisson(rng: &mut StdRng, mean: f64) -> u64 {
    let limit = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}
