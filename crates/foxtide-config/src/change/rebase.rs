//! Rebases a conflicting change on the current document.

use super::accept::{
    AcceptedChange,
    ChangeRequest,
    accept,
    load,
    value_of, //
};
use super::diff::{
    Difference,
    diff,
    rebase, //
};
use super::error::ChangeError;
use crate::document;
use foxtide_core::organisation::Organisation;
use foxtide_core::store::Store;

/// Attempts before a conflict is reported.
const REBASE_ATTEMPTS_MAX: u32 = 5;

/// Accepts a change, rebasing it on other accepted changes unless both changed the same
/// field. The merged document is validated before it is written.
///
/// # Errors
///
/// Fails like [`accept`].
pub async fn accept_rebased<S: Store>(
    store: &S,
    request: ChangeRequest,
) -> Result<AcceptedChange, ChangeError> {
    let mut request = request;
    for _ in 1..REBASE_ATTEMPTS_MAX {
        let conflict = match accept(store, request.clone()).await {
            Err(ChangeError::Conflict(conflict)) => conflict,
            other => return other,
        };
        let current = load(store, &request.document.organisation).await?;
        let merged = current
            .as_ref()
            .and_then(|current| merge(&conflict.ours, &request, &current.document));
        let Some(document) = merged else {
            return Err(ChangeError::Conflict(conflict));
        };
        request.base = current;
        request.document = document;
    }
    accept(store, request).await
}

/// Applies the change to the current document, if possible.
fn merge(
    ours: &[Difference],
    request: &ChangeRequest,
    current: &Organisation,
) -> Option<Organisation> {
    let base = value_of(&request.base.as_ref()?.document);
    let current = value_of(current);
    let theirs = diff(&base, &current);
    let merged = rebase(ours, &theirs, &current)?;
    document::from_value("merged document", merged).ok()
}
