//! Asks peers for what has changed in the store.

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
use bytes::Bytes;
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
use std::io;
use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

/// How long a peer may take: a connection, a query and an answer between
/// the regions that are furthest apart are 220 ms.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(600);

/// How long others are asked before a peer that did not answer: its lease has lapsed by
/// then if it is dead. Each query to it in vain takes up to 1.6 s.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(5);

/// How long others are asked before a peer that the store does not answer.
const NOT_CURRENT_BACKOFF: Duration = Duration::from_millis(1_000);

/// Why a peer did not tell what has changed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RelayError {
    /// No peer is known.
    #[error("no peer is known")]
    NoPeer,
    /// The exchange failed.
    #[error("peer {peer}: {source}")]
    Io {
        /// The peer.
        peer: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The answer cannot be read.
    #[error("peer {peer}: {source}")]
    Format {
        /// The peer.
        peer: SocketAddr,
        /// What is wrong.
        source: prost::DecodeError,
    },
    /// The records of the answer cannot be unpacked.
    #[error("peer {peer}: {source}")]
    Packing {
        /// The peer.
        peer: SocketAddr,
        /// What is wrong.
        source: UnpackError,
    },
    /// The changes are larger than a peer tells.
    #[error("peer {peer}: the changes are to be read from the store")]
    TooLarge {
        /// The peer.
        peer: SocketAddr,
    },
    /// The store does not answer the peer either.
    #[error("peer {peer}: the store does not answer it either")]
    NotCurrent {
        /// The peer.
        peer: SocketAddr,
    },
}

/// What is asked of a peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangesQuery {
    /// The index up to which the asker knows the store; nothing where it is to be
    /// told everything.
    pub(crate) after: Option<StoreIndex>,
    /// How long the peer may wait for a change.
    pub(crate) wait: Duration,
    /// Whether the asker reads large changes from the store itself.
    pub(crate) fetches_large: bool,
    /// Whether the asker takes everything from one that the store does not answer.
    pub(crate) accepts_stale: bool,
    /// The asker, where the peer is to keep its record, or to remove it.
    pub(crate) announcement: Option<Member>,
    /// Whether the asker is leaving.
    pub(crate) is_leaving: bool,
    /// The version of the configuration that is in force at the asker; 0 for none.
    pub(crate) version: u64,
    /// The asker's configuration, where the one that the peer told last is older.
    pub(crate) configuration: Option<Record>,
}

/// What a peer knows of the store.
#[derive(Debug)]
pub(crate) struct RelayedChanges {
    /// Who told it.
    pub(crate) peer: SocketAddr,
    /// Whether the store answers the peer, so that this is what it says now.
    pub(crate) is_current: bool,
    /// Whether the records are all that the store holds.
    pub(crate) is_full: bool,
    /// The records, in the order of their indices.
    pub(crate) records: Vec<Record>,
    /// The index at which they are complete.
    pub(crate) index: StoreIndex,
    /// The version of the configuration that is in force at the peer; 0 for none.
    pub(crate) version: u64,
    /// The peer's configuration, where the asker's is older and the records do not bring it.
    pub(crate) configuration: Option<Record>,
    /// The quarantined requests that the store may lack.
    pub(crate) quarantine: Vec<(Fingerprint, QuarantineEntry)>,
}

/// Asks peers, one after the other as they fail.
#[derive(Default)]
pub(crate) struct RelayClient {
    /// The peer that answered last, and the connection to it.
    connected: Option<(SocketAddr, Frames)>,
    /// Peers that failed, and until when others are asked before them.
    avoided: HashMap<SocketAddr, Instant>,
}

impl RelayClient {
    /// Asks one of `peers` for what has changed.
    ///
    /// The first that has not failed of late is, and where all have, the one whose failure
    /// is longest ago. One that answered from further away is left for a nearer one as soon
    /// as there is one: while a fleet starts, the first watchers stand in other zones, and
    /// what they tell all day costs bytes between zones.
    ///
    /// # Errors
    ///
    /// Fails where the peer does not answer or cannot know.
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

    /// Tells whether a peer has failed of late.
    pub(crate) fn is_avoided(&self, peer: SocketAddr) -> bool {
        self.avoided
            .get(&peer)
            .is_some_and(|&until| Instant::now() < until)
    }

    fn avoid(&mut self, peer: SocketAddr, error: &RelayError) {
        let now = Instant::now();
        let time = match error {
            RelayError::NotCurrent { .. } => NOT_CURRENT_BACKOFF,
            _ => UNRESPONSIVE_BACKOFF,
        };
        self.avoided.retain(|_, until| now < *until);
        self.avoided.insert(peer, now + time);
    }

    fn choose(&self, peers: &[SocketAddr]) -> Result<SocketAddr, RelayError> {
        // `None` is less than any time; of equals the first is taken.
        let avoided_until = |peer: &&SocketAddr| {
            let until = self.avoided.get(peer).copied();
            until.filter(|&until| Instant::now() < until)
        };
        let chosen = peers.iter().min_by_key(avoided_until);
        chosen.copied().ok_or(RelayError::NoPeer)
    }
}

/// Asks one peer, on the connection given or on a new one.
async fn exchange(
    peer: SocketAddr,
    frames: Option<Frames>,
    query: &ChangesQuery,
) -> Result<(ChangesResponse, Frames), RelayError> {
    let late = async {
        Timer::after(EXCHANGE_TIMEOUT + query.wait).await;
        Err(io::ErrorKind::TimedOut.into())
    };
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
    };
    let answered = or(send_request(peer, frames, &request), late).await;
    let (bytes, frames) = answered.map_err(|source| RelayError::Io { peer, source })?;
    let response = ChangesResponse::decode(bytes.as_slice());
    let mut response = response.map_err(|source| RelayError::Format { peer, source })?;
    if let Some(packed) = response.packed.take() {
        let unpacked = unpack(&packed);
        response.records = unpacked.map_err(|source| RelayError::Packing { peer, source })?;
    }
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
) -> io::Result<(Vec<u8>, Frames)> {
    let mut frames = match frames {
        Some(frames) => frames,
        None => connect(peer).await?,
    };
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    match frames.next().await {
        Some(answer) => Ok((answer?.to_vec(), frames)),
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
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

    /// Peers come in the order of their distance.
    #[test]
    fn verify_the_nearest_peer_that_has_not_failed_of_late_is_asked() {
        let peers = [peer(1), peer(2)];
        let mut client = RelayClient::default();
        assert_eq!(client.choose(&peers[1..]).unwrap(), peer(2));
        assert_eq!(client.choose(&peers).unwrap(), peer(1));
        client.avoid(peer(1), &RelayError::NoPeer);
        assert_eq!(client.choose(&peers).unwrap(), peer(2));
        // Where all have failed, the one that is avoided for the shortest time is.
        client.avoid(peer(2), &RelayError::NotCurrent { peer: peer(2) });
        assert_eq!(client.choose(&peers).unwrap(), peer(2));
        client.avoided.clear();
        assert_eq!(client.choose(&peers).unwrap(), peer(1));
    }
}
