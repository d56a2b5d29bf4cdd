//! Connects to upstreams.

use crate::shared::Shared;
use foxtide_core::registry::Registration;
use foxtide_http::BufferedStream;
use futures_lite::future::or;
use smol::Timer;
use std::io;
use std::net::{
    IpAddr,
    SocketAddr, //
};
use std::time::{
    Duration,
    Instant, //
};

/// Connection timeout within the region: shorter than the first retransmission of a lost packet
/// after a second.
const TIMEOUT_OWN_REGION: Duration = Duration::from_millis(120);

/// Connection timeout to another region: three of the longest supported round trips (110 ms).
const TIMEOUT_OTHER_REGION: Duration = Duration::from_millis(350);

/// How long sent bytes may stay unacknowledged before the peer counts as unreachable.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Returns the time in which a connection to a process is made, if it is reachable.
pub(crate) fn connect_timeout(is_own_region: bool) -> Duration {
    if is_own_region {
        TIMEOUT_OWN_REGION
    } else {
        TIMEOUT_OTHER_REGION
    }
}

/// Connects to a process within `limit`, from the local address `source` if given.
///
/// # Errors
///
/// Fails if the connection is refused or not made in time.
pub(crate) async fn connect(
    address: SocketAddr,
    source: Option<IpAddr>,
    limit: Instant,
) -> io::Result<BufferedStream> {
    let timed = async {
        Timer::at(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = or(BufferedStream::connect(address, source), timed).await?;
    if let Err(error) = stream.set_user_timeout(UNACKNOWLEDGED_TIMEOUT) {
        log::debug!("cannot set the timeout of unacknowledged data: {error}");
    }
    Ok(stream)
}

impl<D> Shared<D> {
    /// Returns the time in which a connection to an upstream is made, if it is reachable.
    pub(crate) fn connect_timeout(&self, registration: &Registration) -> Duration {
        connect_timeout(registration.region == self.options.place.region)
    }

    /// Connects to an upstream for a request, and records whether it is reachable.
    ///
    /// # Errors
    ///
    /// Fails as [`connect`] does.
    pub(crate) async fn connect_upstream(
        &self,
        registration: &Registration,
        deadline: Instant,
    ) -> io::Result<BufferedStream> {
        metrics::counter!("foxtide_upstream_connections_total").increment(1);
        let limit = Instant::now() + self.connect_timeout(registration);
        let connected = connect(registration.address, None, limit.min(deadline)).await;
        match &connected {
            Ok(_) => self.reach.record_connected(),
            // A connection that the deadline cut short tells nothing of the path.
            Err(error) if error.kind() == io::ErrorKind::TimedOut && deadline < limit => {}
            Err(_) => {
                let now = self.clock.now();
                self.reach.record_unreachable(&registration.upstream, now);
            }
        }
        connected
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// An ended upstream of another region must not pass for a broken connection because its
    /// refusal arrives after the timeout.
    #[test]
    fn verify_the_refusal_of_a_far_upstream_is_waited_for() {
        let longest_round_trip = Duration::from_millis(110);
        assert!(connect_timeout(false) >= 2 * longest_round_trip);
    }
}
