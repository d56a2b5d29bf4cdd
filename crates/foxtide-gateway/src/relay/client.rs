//! Queries peers for changes of the store.

use super::messages::{
    ChangesRequest,
    ChangesResponse, //
};
use super::packing::{
    UnpackError,
    unpack, //
};
use super::server::{
    Frames,
    frames, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use foxtide_core::poison::{
    Fingerprint,
    QuarantineEntry, //
};
use foxtide_core::records::Record;
use foxtide_core::registry::Member;
use foxtide_core::store::StoreIndex;
use futures_lite::future::or;
use futures_util::{
    SinkExt,
    StreamExt, //
};
use prost::Message;
use smol::Timer;
use smol::net::TcpStream;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

/// The timeout of an exchange with a peer, including the connection, and of each further part of
/// its response.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a peer that did not answer is avoided; the lease of a dead one lapses meanwhile. Each
/// request to it in vain takes up to 1.6 s.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(5);

/// How long a peer that does not follow the store is avoided.
const NOT_CURRENT_BACKOFF: Duration = Duration::from_millis(1_000);

/// How long a peer that sends as many copies as its link carries is avoided.
const BUSY_BACKOFF: Duration = Duration::from_millis(300);

/// An error of a query for changes.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RelayError {
    /// No peer is known.
    #[error("no peer is known")]
    NoPeer,
    /// The connection failed.
    #[error("peer {peer}: {source}")]
    Io {
        /// The peer.
        peer: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The response is malformed.
    #[error("peer {peer}: {source}")]
    Format {
        /// The peer.
        peer: SocketAddr,
        /// What is wrong.
        source: prost::DecodeError,
    },
    /// The records of the response cannot be decompressed.
    #[error("peer {peer}: {source}")]
    Packing {
        /// The peer.
        peer: SocketAddr,
        /// What is wrong.
        source: UnpackError,
    },
    /// The changes are too large for a relay and have to be read from the store.
    #[error("peer {peer}: the changes are too large and must be read from the store")]
    TooLarge {
        /// The peer.
        peer: SocketAddr,
    },
    /// The peer does not follow the store.
    #[error("peer {peer}: the peer does not follow the store")]
    NotCurrent {
        /// The peer.
        peer: SocketAddr,
    },
    /// The peer sends as many copies of the store's contents as its link carries.
    #[error("peer {peer}: the peer sends as many copies as its link carries")]
    Busy {
        /// The peer.
        peer: SocketAddr,
    },
}

/// A query for changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangesQuery {
    /// The index up to which the client knows the store; `None` for everything.
    pub(crate) after: Option<StoreIndex>,
    /// How long the peer may wait for a change.
    pub(crate) wait: Duration,
    /// Whether the client reads large changes from the store itself.
    pub(crate) fetches_large: bool,
    /// Whether the client accepts state from a peer that does not follow the store.
    pub(crate) accepts_stale: bool,
    /// The client, if the peer should write or remove its record.
    pub(crate) announcement: Option<Member>,
    /// Whether the record is to be removed.
    pub(crate) is_leaving: bool,
    /// Whether a peer that starts itself may answer as soon as it has a copy.
    pub(crate) waits_for_copy: bool,
    /// The version of the client's configuration; 0 for none.
    pub(crate) version: u64,
    /// The client's configuration, if the peer last had an older one.
    pub(crate) configuration: Option<Record>,
}

/// Changes relayed by a peer.
#[derive(Debug)]
pub(crate) struct RelayedChanges {
    /// The peer.
    pub(crate) peer: SocketAddr,
    /// Whether the peer follows the store, so that the changes are current.
    pub(crate) is_current: bool,
    /// Whether the records are the whole contents of the store.
    pub(crate) is_full: bool,
    /// The records in index order.
    pub(crate) records: Vec<Record>,
    /// The index at which they are complete.
    pub(crate) index: StoreIndex,
    /// The version of the peer's configuration; 0 for none.
    pub(crate) version: u64,
    /// The peer's configuration, if the client's is older and the store has lost the new one.
    pub(crate) configuration: Option<Record>,
    /// The quarantined requests that the store may lack.
    pub(crate) quarantine: Vec<(Fingerprint, QuarantineEntry)>,
}

/// A client that queries one peer at a time and avoids those that failed.
#[derive(Default)]
pub(crate) struct RelayClient {
    /// The peer that answered last, and the connection to it.
    connected: Option<(SocketAddr, Frames)>,
    /// Failed peers and until when they are avoided.
    avoided: HashMap<SocketAddr, Instant>,
}

impl RelayClient {
    /// Queries one of `peers`, which are in order of distance: the first that has not failed
    /// recently or, if all have, the one that is avoided for the shortest time.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not answer or does not follow the store.
    pub(crate) async fn ask(
        &mut self,
        peers: &[SocketAddr],
        query: &ChangesQuery,
    ) -> Result<RelayedChanges, RelayError> {
        let peer = self.choose(peers)?;
        let reused = self.connected.take();
        let frames = reused.and_then(|(reused, frames)| (reused == peer).then_some(frames));
        let answered = exchange(peer, frames, query).await;
        if let Err(error) = &answered {
            self.avoid(peer, error);
        }
        let (response, frames) = answered?;
        self.connected = Some((peer, frames));
        if response.is_too_large {
            return Err(RelayError::TooLarge { peer });
        }
        if response.is_busy {
            let error = RelayError::Busy { peer };
            self.avoid(peer, &error);
            return Err(error);
        }
        Ok(RelayedChanges {
            peer,
            is_current: response.is_current,
            is_full: response.is_full,
            records: response.records.into_iter().map(Record::from).collect(),
            index: StoreIndex::new(response.index).in_era(response.era),
            version: response.version,
            configuration: response.configuration.map(Record::from),
            quarantine: response
                .quarantine
                .iter()
                .map(|message| (message.fingerprint(), message.entry()))
                .collect(),
        })
    }

    /// Tells whether a peer has failed recently.
    pub(crate) fn is_avoided(&self, peer: SocketAddr) -> bool {
        self.avoided
            .get(&peer)
            .is_some_and(|&until| Instant::now() < until)
    }

    fn avoid(&mut self, peer: SocketAddr, error: &RelayError) {
        let now = Instant::now();
        let time = match error {
            RelayError::NotCurrent { .. } => NOT_CURRENT_BACKOFF,
            RelayError::Busy { .. } => BUSY_BACKOFF,
            _ => UNRESPONSIVE_BACKOFF,
        };
        self.avoided.retain(|_, until| now < *until);
        self.avoided.insert(peer, now + time);
    }

    fn choose(&self, peers: &[SocketAddr]) -> Result<SocketAddr, RelayError> {
        // `None` is less than any time; the first of equals is chosen.
        let avoided_until = |peer: &&SocketAddr| {
            let until = self.avoided.get(peer).copied();
            until.filter(|&until| Instant::now() < until)
        };
        let chosen = peers.iter().min_by_key(avoided_until);
        chosen.copied().ok_or(RelayError::NoPeer)
    }
}

/// Queries one peer over the given connection or a new one.
async fn exchange(
    peer: SocketAddr,
    frames: Option<Frames>,
    query: &ChangesQuery,
) -> Result<(ChangesResponse, Frames), RelayError> {
    let request = ChangesRequest {
        after: query.after.map(StoreIndex::get),
        wait_ms: u32::try_from(query.wait.as_millis()).unwrap_or(u32::MAX),
        fetches_large: query.fetches_large,
        accepts_stale: query.accepts_stale,
        announcement: query.announcement.as_ref().map(Into::into),
        is_leaving: query.is_leaving,
        after_era: query.after.map_or(0, StoreIndex::era),
        version: query.version,
        configuration: query.configuration.clone().map(Into::into),
        reads_packed: true,
        reads_parts: true,
        waits_for_copy: query.waits_for_copy,
    };
    let io_error = |source| RelayError::Io { peer, source };
    let sent = within(EXCHANGE_TIMEOUT, send_request(peer, frames, &request)).await;
    let mut frames = sent.map_err(io_error)?;
    let mut patience = EXCHANGE_TIMEOUT + query.wait;
    let mut records = Vec::new();
    let mut response = loop {
        let bytes = within(patience, next_frame(&mut frames)).await;
        let mut part = decode(&bytes.map_err(io_error)?, peer)?;
        records.append(&mut part.records);
        if !part.has_more {
            break part;
        }
        patience = EXCHANGE_TIMEOUT;
    };
    response.records = records;
    let is_stale = query.accepts_stale && !response.records.is_empty();
    if !response.is_current && !is_stale {
        return Err(RelayError::NotCurrent { peer });
    }
    Ok((response, frames))
}

async fn send_request(
    peer: SocketAddr,
    frames: Option<Frames>,
    request: &ChangesRequest,
) -> io::Result<Frames> {
    let mut frames = match frames {
        Some(frames) => frames,
        None => connect(peer).await?,
    };
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    Ok(frames)
}

async fn next_frame(frames: &mut Frames) -> io::Result<BytesMut> {
    match frames.next().await {
        Some(frame) => frame,
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Decodes a message and unpacks its records.
fn decode(bytes: &[u8], peer: SocketAddr) -> Result<ChangesResponse, RelayError> {
    let decoded = ChangesResponse::decode(bytes);
    let mut response = decoded.map_err(|source| RelayError::Format { peer, source })?;
    if let Some(packed) = response.packed.take() {
        let unpacked = unpack(&packed);
        response.records = unpacked.map_err(|source| RelayError::Packing { peer, source })?;
    }
    Ok(response)
}

async fn within<T>(time: Duration, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let late = async {
        Timer::after(time).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    or(work, late).await
}

async fn connect(peer: SocketAddr) -> io::Result<Frames> {
    let stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    Ok(frames(stream))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn peer(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    #[test]
    fn verify_the_nearest_peer_that_has_not_failed_recently_is_asked() {
        let peers = [peer(1), peer(2)];
        let mut client = RelayClient::default();
        assert_eq!(client.choose(&peers[1..]).unwrap(), peer(2));
        assert_eq!(client.choose(&peers).unwrap(), peer(1));
        client.avoid(peer(1), &RelayError::NoPeer);
        assert_eq!(client.choose(&peers).unwrap(), peer(2));
        // All have failed: the one that is avoided for the shortest time is chosen.
        client.avoid(peer(2), &RelayError::NotCurrent { peer: peer(2) });
        assert_eq!(client.choose(&peers).unwrap(), peer(2));
        client.avoided.clear();
        assert_eq!(client.choose(&peers).unwrap(), peer(1));
    }
}
