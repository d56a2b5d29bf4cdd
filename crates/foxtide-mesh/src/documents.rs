//! Publishing documents and fetching those that peers announce.

use crate::errors::{
    Error,
    Result, //
};
use crate::shared::{
    Shared,
    carry_out, //
};
use crate::streams;
use crate::wire::{
    FetchRequest,
    read_document,
    request,
    response, //
};
use foxtide_core::dissemination::{
    Document,
    Fetch, //
};
use foxtide_core::membership::{
    Announcement,
    Rumour, //
};
use std::net::SocketAddr;
use std::sync::Arc;

/// Takes a document in where it is newer than the one held, and tells peers
/// and the program; returns whether it was newer.
pub(crate) fn accept(shared: &Arc<Shared>, document: &Document) -> bool {
    let announcement = document.announcement();
    let now = shared.now();
    let mut state = shared.state.lock();
    state.fetches.mark_held(&announcement);
    if !state.configurations.apply(document) {
        return false;
    }
    let hash = state.configurations.hash();
    state.membership.set_configuration_hash(hash);
    let rumour = Rumour::Configuration(announcement);
    let outputs = state.membership.spread(rumour, now);
    // Under the state's lock, so that subscribers see revisions in order.
    let mut subscribers = shared.subscribers.lock();
    subscribers.retain(|subscriber| subscriber.try_send(document.clone()).is_ok());
    drop(subscribers);
    drop(state);
    carry_out(shared, outputs);
    true
}

/// Notes that a peer holds a revision, and fetches it where it is newer.
pub(crate) fn announced(shared: &Arc<Shared>, announcement: &Announcement, by: SocketAddr) {
    let mut state = shared.state.lock();
    if !state.configurations.is_newer(announcement) {
        return;
    }
    state.fetches.add_source(announcement, by);
    drop(state);
    start_fetches(shared);
}

/// Starts the fetches that are due.
pub(crate) fn start_fetches(shared: &Arc<Shared>) {
    let now = shared.now();
    let due = shared.state.lock().fetches.start_due(now);
    for fetch in due {
        let shared = shared.clone();
        smol::spawn(async move { carry_through(&shared, &fetch).await }).detach();
    }
}

async fn carry_through(shared: &Arc<Shared>, fetch: &Fetch) {
    match ask(shared, fetch).await {
        Ok(document) => {
            accept(shared, &document);
        }
        Err(error) => {
            log::debug!("fetch {}: {error}", fetch.announcement.organisation);
            let now = shared.now();
            shared.state.lock().fetches.mark_failed(fetch, now);
        }
    }
}

async fn ask(shared: &Shared, fetch: &Fetch) -> Result<Document> {
    let Announcement {
        organisation,
        revision,
    } = &fetch.announcement;
    let request = request::Body::Fetch(FetchRequest {
        organisation: organisation.to_string(),
    });
    let limit = shared.options.exchange_timeout;
    let answer = streams::ask(shared, fetch.from, request, limit).await?;
    let response::Body::Document(document) = answer else {
        return Err(Error::answer(fetch.from, "not a document"));
    };
    let document = read_document(document);
    let document = document.map_err(|_| Error::answer(fetch.from, "unreadable document"))?;
    if document.organisation != *organisation || document.revision < *revision {
        return Err(Error::answer(fetch.from, "another document than announced"));
    }
    Ok(document)
}

/// Answers a peer that fetches a document.
pub(crate) fn answer(shared: &Shared, fetch: &FetchRequest) -> Option<response::Body> {
    let organisation = fetch.organisation.parse().ok()?;
    let state = shared.state.lock();
    let document = state.configurations.get(&organisation)?.clone();
    drop(state);
    Some(response::Body::Document((&document).into()))
}
