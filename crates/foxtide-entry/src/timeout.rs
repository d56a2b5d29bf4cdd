//! Gives up on a future after a time.

use smol::Timer;
use smol::future::or;
use std::future::Future;
use std::time::Duration;

/// The time given to a step has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Elapsed;

/// Runs `future` for at most `limit`, then drops it.
///
/// # Errors
///
/// Fails where `limit` passes first.
pub(crate) async fn timeout<T>(
    limit: Duration,
    future: impl Future<Output = T>,
) -> Result<T, Elapsed> {
    let finish = async { Ok(future.await) };
    let give_up = async {
        Timer::after(limit).await;
        Err(Elapsed)
    };
    or(finish, give_up).await
}
