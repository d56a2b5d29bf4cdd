//! Publishes configuration documents and fetches those that peers announce.

use crate::errors::{
    Error,
    Result, //
};
use crate::shared::{
    Shared,
    apply_outputs, //
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

/// Stores a document if it is newer than the stored one, then announces it to
/// peers and subscribers; returns whether it was newer.
pub(crate) fn apply_document(shared: &Arc<Shared>, document: &Document) -> bool {
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
    // Under the state lock, so that subscribers see revisions in order.
    let mut subscribers = shared.subscribers.lock();
    subscribers.retain(|subscriber| subscriber.try_send(document.clone()).is_ok());
    drop(subscribers);
    drop(state);
    apply_outputs(shared, outputs);
    true
}

/// Schedules a fetch of a revision that a peer announced, if it is newer.
pub(crate) fn fetch_if_newer(shared: &Arc<Shared>, announcement: &Announcement, by: SocketAddr) {
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
        smol::spawn(async move { run_fetch(&shared, &fetch).await }).detach();
    }
}

async fn run_fetch(shared: &Arc<Shared>, fetch: &Fetch) {
    match fetch_document(shared, fetch).await {
        Ok(document) => {
            apply_document(shared, &document);
        }
        Err(error) => {
            log::debug!(
                "fetching the configuration of {} failed: {error}",
                fetch.announcement.organisation
            );
            let now = shared.now();
            shared.state.lock().fetches.mark_failed(fetch, now);
        }
    }
}

async fn fetch_document(shared: &Shared, fetch: &Fetch) -> Result<Document> {
    let Announcement {
        organisation,
        revision,
    } = &fetch.announcement;
    let request = request::Body::Fetch(FetchRequest {
        organisation: organisation.to_string(),
    });
    let timeout = shared.options.exchange_timeout;
    let response = streams::send_request(shared, fetch.from, request, timeout).await?;
    let response::Body::Document(document) = response else {
        return Err(Error::invalid(fetch.from, "not a document"));
    };
    let document = read_document(document);
    let document = document.map_err(|_| Error::invalid(fetch.from, "malformed document"))?;
    if document.organisation != *organisation || document.revision < *revision {
        return Err(Error::invalid(fetch.from, "not the announced document"));
    }
    Ok(document)
}

/// Returns the document that a peer requests.
pub(crate) fn handle_fetch(shared: &Shared, fetch: &FetchRequest) -> Option<response::Body> {
    let organisation = fetch.organisation.parse().ok()?;
    let state = shared.state.lock();
    let document = state.configurations.get(&organisation)?.clone();
    drop(state);
    Some(response::Body::Document((&document).into()))
}
