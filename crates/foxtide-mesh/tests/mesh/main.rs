//! Tests with several mesh instances in one process.

mod calls;
mod fleet;
mod load;
mod membership;
mod rejections;
mod spreading;
