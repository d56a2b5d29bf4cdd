//! Scenarios with several instances of the mesh in one process.

mod calls;
mod fleet;
mod load;
mod membership;
mod rejections;
mod spreading;
