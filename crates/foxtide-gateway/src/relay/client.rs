//! Asks peers for what has changed in the store.

use super::messages::{
    ChangesRequest,
    ChangesResponse, //
};
use super::server::frames;
use crate::store::Record;
use bytes::Bytes;
use foxtide_core::store::StoreIndex;
use futures_lite::future::or;
use futures_util::{
    SinkExt,
    StreamExt, //
};
use prost::Message;
use smol::Timer;
use smol::net::TcpStream;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a peer may take: a connection, a question and an answer between
/// the regions that are furthest apart are 220 ms.
const PEER_TIME: Duration = Duration::from_millis(600);

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
    /// The store does not answer the peer either.
    #[error("peer {peer}: the store does not answer it either")]
    NotCurrent {
        /// The peer.
        peer: SocketAddr,
    },
}

/// What a peer knows of the store.
#[derive(Debug)]
pub(crate) struct Relayed {
    /// Whether the records are all that the store holds.
    pub(crate) is_everything: bool,
    /// The records, in the order of their indices.
    pub(crate) records: Vec<Record>,
    /// The index at which they are complete.
    pub(crate) index: StoreIndex,
}

/// Asks peers, one after the other as they fail.
#[derive(Debug, Default)]
pub(crate) struct RelayClient {
    asked: usize,
}

impl RelayClient {
    /// Asks the next of `peers` for what has changed after `after`; for
    /// everything where that is nothing.
    ///
    /// # Errors
    ///
    /// Fails where the peer does not answer or cannot know.
    pub(crate) async fn ask(
        &mut self,
        peers: &[SocketAddr],
        after: Option<StoreIndex>,
    ) -> Result<Relayed, RelayError> {
        if peers.is_empty() {
            return Err(RelayError::NoPeer);
        }
        let peer = peers[self.asked % peers.len()];
        let relayed = ask_one(peer, after).await;
        // One that answers is asked again, so that its answers are of one kind.
        self.asked += usize::from(relayed.is_err());
        relayed
    }
}

async fn ask_one(peer: SocketAddr, after: Option<StoreIndex>) -> Result<Relayed, RelayError> {
    let late = async {
        Timer::after(PEER_TIME).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let answered = or(converse(peer, after), late).await;
    let bytes = answered.map_err(|source| RelayError::Io { peer, source })?;
    let response = ChangesResponse::decode(bytes.as_slice());
    let response = response.map_err(|source| RelayError::Format { peer, source })?;
    if !response.is_current {
        return Err(RelayError::NotCurrent { peer });
    }
    Ok(Relayed {
        is_everything: response.is_everything,
        records: response.records.into_iter().map(Record::from).collect(),
        index: StoreIndex::new(response.index),
    })
}

async fn converse(peer: SocketAddr, after: Option<StoreIndex>) -> io::Result<Vec<u8>> {
    let stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    let mut frames = frames(stream);
    let request = ChangesRequest {
        after: after.map(StoreIndex::get),
    };
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    match frames.next().await {
        Some(answer) => Ok(answer?.to_vec()),
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}
