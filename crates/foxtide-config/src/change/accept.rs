//! Writes changes by compare-and-swap and resolves writes with an unknown outcome.

use super::codec::{
    ORGANISATION_PREFIX,
    decode_unchecked,
    encode,
    key_of, //
};
use super::diff::{
    Difference,
    conflicting_paths,
    diff, //
};
use super::error::{
    ChangeError,
    Conflict, //
};
use foxtide_core::ids::{
    ChangeId,
    OrganisationId, //
};
use foxtide_core::organisation::{
    ChangeSummary,
    HISTORY_MAX,
    Organisation, //
};
use foxtide_core::store::{
    Store,
    StoreEntry,
    StoreError,
    StoreIndex, //
};
use foxtide_core::time::WallTime;
use foxtide_core::units::Revision;
use serde_json::Value;
use smol::Timer;
use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

/// Attempts to resolve a write with an unknown outcome.
const SETTLE_ATTEMPTS_MAX: u32 = 5;

/// Wait before the first attempt; doubles with each further one.
const SETTLE_WAIT_INITIAL: Duration = Duration::from_millis(100);

/// A document read from the store, the base of a change.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredDocument {
    /// The document.
    pub document: Organisation,
    /// Index of the key, for compare-and-swap.
    pub index: StoreIndex,
}

/// A proposed change.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// Document that the change is based on; `None` for a new organisation.
    pub base: Option<StoredDocument>,
    /// The whole document after the change.
    pub document: Organisation,
    /// Author of the change.
    pub author: String,
    /// Summary in one line.
    pub summary: String,
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedChange {
    /// The document as it was written.
    pub document: Organisation,
    /// Whether the answer was lost and the outcome resolved by reading.
    pub settled: bool,
}

/// Reads an organisation's document.
///
/// # Errors
///
/// Fails if the store fails or the stored value is invalid.
pub async fn load<S: Store>(
    store: &S,
    organisation: &OrganisationId,
) -> Result<Option<StoredDocument>, ChangeError> {
    let key = key_of(organisation);
    let entry = store.read(&key).await.map_err(ChangeError::Store)?;
    entry.map(|entry| stored(&entry)).transpose()
}

/// Reads all organisations' documents.
///
/// # Errors
///
/// Fails if the store fails or a stored value is invalid.
pub async fn load_all<S: Store>(store: &S) -> Result<Vec<StoredDocument>, ChangeError> {
    let listing = store.list(ORGANISATION_PREFIX).await;
    let entries = listing.map_err(ChangeError::Store)?.entries;
    entries.iter().map(stored).collect()
}

fn stored(entry: &StoreEntry) -> Result<StoredDocument, ChangeError> {
    Ok(StoredDocument {
        document: decode_unchecked(&entry.key, &entry.value)?,
        index: entry.index,
    })
}

/// Validates a change and writes it if its base is still the stored document.
///
/// # Errors
///
/// Fails with [`ChangeError::Conflict`] if another change was accepted first and with
/// [`ChangeError::Unsettled`] if the outcome is unknown; after other errors nothing was
/// written.
pub async fn accept<S: Store>(
    store: &S,
    request: ChangeRequest,
) -> Result<AcceptedChange, ChangeError> {
    let attempt = Attempt::new(request)?;
    match attempt.write(store).await {
        Ok(true) => Ok(attempt.accepted(false)),
        Ok(false) => attempt.resolve_mismatch(store).await,
        Err(error @ StoreError::Unknown { .. }) => attempt.settle(store, error).await,
        Err(error) => Err(ChangeError::Store(error)),
    }
}

/// A validated change with the value to write.
struct Attempt {
    base: Option<StoredDocument>,
    document: Organisation,
    key: String,
    value: Vec<u8>,
}

impl Attempt {
    fn new(request: ChangeRequest) -> Result<Self, ChangeError> {
        let document = with_new_revision(&request)?;
        crate::validate::check(&document)?;
        let value = encode(&document)?;
        Ok(Self {
            key: key_of(&document.organisation),
            base: request.base,
            document,
            value,
        })
    }

    async fn write<S: Store>(&self, store: &S) -> Result<bool, StoreError> {
        let value = self.value.clone();
        store.write(&self.key, value, self.expected()).await
    }

    /// Returns the index of the base.
    fn expected(&self) -> StoreIndex {
        let base = self.base.as_ref();
        base.map_or(StoreIndex::ABSENT, |base| base.index)
    }

    fn accepted(&self, settled: bool) -> AcceptedChange {
        AcceptedChange {
            document: self.document.clone(),
            settled,
        }
    }

    fn unsettled(&self, cause: StoreError) -> ChangeError {
        ChangeError::Unsettled {
            change_id: self.document.change_id.clone(),
            cause,
        }
    }

    /// Resolves a write with an unknown outcome.
    async fn settle<S: Store>(
        &self,
        store: &S,
        lost_answer: StoreError,
    ) -> Result<AcceptedChange, ChangeError> {
        let mut wait = SETTLE_WAIT_INITIAL;
        let mut latest = self.unsettled(lost_answer);
        for _ in 0..SETTLE_ATTEMPTS_MAX {
            Timer::after(wait).await;
            wait *= 2;
            match self.settle_once(store).await {
                Err(error @ ChangeError::Unsettled { .. }) => latest = error,
                settled => return settled,
            }
        }
        Err(latest)
    }

    /// Searches the store for the change and writes it again if the base is unchanged.
    ///
    /// Both writes compare with the same index, so at most one of them takes effect.
    async fn settle_once<S: Store>(&self, store: &S) -> Result<AcceptedChange, ChangeError> {
        let entry = store.read(&self.key).await;
        let entry = entry.map_err(|error| self.unsettled(error))?;
        let index = entry.map_or(StoreIndex::ABSENT, |entry| entry.index);
        if index == self.expected() {
            match self.write(store).await {
                Ok(true) => return Ok(self.accepted(true)),
                Ok(false) => {}
                Err(error) => return Err(self.unsettled(error)),
            }
        }
        let found = self.resolve_mismatch(store).await;
        found.map_err(|error| self.to_unsettled(error))
    }

    /// Decides whether the key's index differs because of this change or of another.
    async fn resolve_mismatch<S: Store>(&self, store: &S) -> Result<AcceptedChange, ChangeError> {
        let current = load(store, &self.document.organisation).await?;
        let Some(current) = current else {
            return Err(ChangeError::NotFound(self.document.organisation.clone()));
        };
        if contains_change(&current.document, &self.document.change_id) {
            return Ok(self.accepted(true));
        }
        let conflict = self.conflict(&current.document);
        Err(ChangeError::Conflict(Box::new(conflict)))
    }

    /// Converts an error that implies that nothing was written to
    /// [`ChangeError::Unsettled`] if a write of this change may have taken effect.
    fn to_unsettled(&self, error: ChangeError) -> ChangeError {
        match error {
            ChangeError::Unsettled { .. } => error,
            ChangeError::Conflict(ref conflict) if conflict.is_successor_known => error,
            ChangeError::Store(cause) => self.unsettled(cause),
            ChangeError::Conflict(_) | ChangeError::Invalid(_) | ChangeError::NotFound(_) => self
                .unsettled(StoreError::Unknown {
                    step: "settle",
                    peer: self.key.clone(),
                    cause: error.to_string(),
                }),
        }
    }

    fn conflict(&self, current: &Organisation) -> Conflict {
        let base = self.base.as_ref().map(|base| &base.document);
        let base_value = base.map_or_else(empty_document, value_of);
        let theirs = diff(&base_value, &value_of(current));
        let ours = diff(&base_value, &value_of(&self.document));
        let latest = current.history.last();
        Conflict {
            base: base.map_or(Revision::ZERO, |base| base.revision),
            accepted: current.revision,
            accepted_by: latest.map_or_else(String::new, |change| {
                format!("{}: {}", change.author, change.summary)
            }),
            is_successor_known: contains_successor(current, base),
            conflicting_paths: conflicting_paths(&ours, &theirs),
            theirs,
            ours,
        }
    }
}

/// Returns the differences of a document from its base, without bookkeeping fields.
pub fn differences(base: Option<&StoredDocument>, document: &Organisation) -> Vec<Difference> {
    let before = base.map_or_else(empty_document, |base| value_of(&base.document));
    diff(&before, &value_of(document))
}

/// Returns the base of a new organisation's document.
fn empty_document() -> Value {
    Value::Object(serde_json::Map::new())
}

/// Returns a document as JSON, for comparisons.
pub(crate) fn value_of(document: &Organisation) -> Value {
    serde_json::to_value(document).unwrap_or(Value::Null)
}

/// Returns whether the document's latest or an earlier change is `change`.
fn contains_change(document: &Organisation, change: &ChangeId) -> bool {
    let is_change = |past: &ChangeSummary| past.change_id == *change;
    document.change_id == *change || document.history.iter().any(is_change)
}

/// Returns whether the document's history has the change that followed the base.
fn contains_successor(document: &Organisation, base: Option<&Organisation>) -> bool {
    let successor = base.map_or(Revision::ZERO, |base| base.revision).next();
    let mut history = document.history.iter();
    history.any(|past| past.revision == successor)
}

/// Returns the document with the next revision, a new change id and its history.
fn with_new_revision(request: &ChangeRequest) -> Result<Organisation, ChangeError> {
    let base = request.base.as_ref().map(|base| &base.document);
    let revision = base.map_or(Revision::ZERO, |base| base.revision).next();
    let change_id = new_change_id()?;
    let mut history = base.map_or_else(Vec::new, |base| base.history.clone());
    history.push(ChangeSummary {
        change_id: change_id.clone(),
        revision,
        author: request.author.clone(),
        written_us: wall_now(),
        summary: request.summary.clone(),
    });
    let surplus = history.len().saturating_sub(HISTORY_MAX);
    history.drain(..surplus);
    Ok(Organisation {
        revision,
        change_id,
        history,
        ..request.document.clone()
    })
}

fn new_change_id() -> Result<ChangeId, ChangeError> {
    let text = uuid::Uuid::now_v7().to_string();
    let parsed = text.parse::<ChangeId>();
    parsed.map_err(|error| crate::Error::from_core("change_id", error).into())
}

fn wall_now() -> WallTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let us = since_epoch.unwrap_or_default().as_micros();
    WallTime::from_us(u64::try_from(us).unwrap_or(u64::MAX))
}
