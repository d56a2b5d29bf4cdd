//! Store client and options shared by all commands.

use crate::failure::Failure;
use crate::options::Options;
use foxtide_config::change::{
    self,
    ChangeError,
    StoredDocument, //
};
use foxtide_config::{
    HttpStore,
    HttpStoreOptions, //
};
use foxtide_core::ids::OrganisationId;
use foxtide_core::time::WallTime;
use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};

/// The context of one command.
#[derive(Debug)]
pub(crate) struct Session {
    options: Options,
    store: HttpStore,
}

impl Session {
    /// Creates a session with a client of the configured store.
    pub(crate) fn new(options: &Options) -> Self {
        let store = HttpStore::new(HttpStoreOptions {
            address: options.store,
            ..HttpStoreOptions::default()
        });
        Self {
            options: options.clone(),
            store,
        }
    }

    pub(crate) fn options(&self) -> &Options {
        &self.options
    }

    /// Returns whether results are printed as JSON.
    pub(crate) fn json(&self) -> bool {
        self.options.json
    }

    pub(crate) fn store(&self) -> &HttpStore {
        &self.store
    }

    /// Loads an organisation's document; fails if it does not exist.
    pub(crate) async fn load(&self, name: &str) -> Result<StoredDocument, Failure> {
        let organisation: OrganisationId = name.parse()?;
        let stored = change::load(&self.store, &organisation).await?;
        stored.ok_or_else(|| ChangeError::NotFound(organisation).into())
    }

    /// Returns the current wall-clock time.
    pub(crate) fn now(&self) -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let us = since_epoch.unwrap_or_default().as_micros();
        WallTime::from_us(u64::try_from(us).unwrap_or(u64::MAX))
    }
}
