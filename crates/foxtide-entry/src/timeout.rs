//! Timeouts of futures.

use smol::Timer;
use smol::future::or;
use std::future::Future;
use std::time::Duration;

/// Error of a future that did not complete in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Elapsed;

/// Runs `future` for at most `limit`, then drops it.
///
/// # Errors
///
/// Returns an error if `limit` passes first.
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
