//! Validates, previews and writes changes to an organisation's document.

use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use foxtide_config::change::{
    self,
    ChangeRequest,
    Difference,
    StoredDocument, //
};
use foxtide_core::organisation::Organisation;
use foxtide_core::units::Revision;
use serde_json::json;
use std::fmt::Write;

/// A change requested by a command.
#[derive(Debug)]
pub(crate) struct DocumentChange {
    /// The stored document before the change; `None` for a new organisation.
    pub(crate) base: Option<StoredDocument>,
    /// The document after the change.
    pub(crate) document: Organisation,
    /// A one-line summary for the history.
    pub(crate) summary: String,
}

/// Validates and previews a change and, with `--yes`, writes it.
pub(crate) async fn apply(session: &Session, requested: DocumentChange) -> Result<Report, Failure> {
    check_revision(session, requested.base.as_ref())?;
    change::check(&requested.document)?;
    let differences = change::differences(requested.base.as_ref(), &requested.document);
    if differences.is_empty() {
        return Ok(unchanged_report(&requested));
    }
    if !session.options().yes {
        return Ok(preview_report(&requested, &differences));
    }
    let request = ChangeRequest {
        base: requested.base,
        document: requested.document,
        author: session.options().author.clone(),
        summary: requested.summary,
    };
    let accepted = match session.options().rebase {
        true => change::accept_rebased(session.store(), request).await?,
        false => change::accept(session.store(), request).await?,
    };
    Ok(accepted_report(&accepted, &differences))
}

/// Returns a conflict unless the document is at the revision given with `--revision`.
fn check_revision(session: &Session, base: Option<&StoredDocument>) -> Result<(), Failure> {
    let Some(expected) = session.options().revision else {
        return Ok(());
    };
    let current = base.map_or(Revision::ZERO, |base| base.document.revision);
    if current == expected {
        return Ok(());
    }
    let mut problem = format!("not accepted: the current revision is {current}, not {expected}");
    let history = base.map_or(&[][..], |base| &base.document.history);
    for change in history.iter().filter(|change| change.revision > expected) {
        let (revision, author, summary) = (change.revision, &change.author, &change.summary);
        let _ = write!(problem, "\n  {revision} {author}: {summary}");
    }
    let advice =
        format!("review the changes, then run the command again with --revision {current}");
    Err(Failure::conflict(problem, advice))
}

fn unchanged_report(requested: &DocumentChange) -> Report {
    let revision = requested
        .base
        .as_ref()
        .map_or(Revision::ZERO, |base| base.document.revision);
    let text = format!("Nothing to change: {revision} already has these values.");
    Report::new(
        text,
        json!({"written": false, "revision": revision, "differences": []}),
    )
}

fn preview_report(requested: &DocumentChange, differences: &[Difference]) -> Report {
    let base = requested.base.as_ref().map(|base| base.document.revision);
    let option = base.map_or(String::new(), |revision| format!(" --revision {revision}"));
    let text = format!(
        "{}\nNot written. Add --yes{option} before the command to write it.",
        difference_lines(differences)
    );
    Report::new(text, json!({"written": false, "differences": differences}))
}

fn accepted_report(accepted: &change::AcceptedChange, differences: &[Difference]) -> Report {
    let document = &accepted.document;
    let (organisation, revision) = (&document.organisation, document.revision);
    let note = match accepted.settled {
        true => " (the response was lost; confirmed by reading the store)",
        false => "",
    };
    let text = format!(
        "{}\nAccepted: {organisation} {revision}, change {}{note}.",
        difference_lines(differences),
        document.change_id
    );
    let json = json!({
        "written": true,
        "organisation": organisation,
        "revision": revision,
        "change_id": document.change_id,
        "settled": accepted.settled,
        "differences": differences,
    });
    Report::new(text, json)
}

/// Formats the differences, one per line.
pub(crate) fn difference_lines(differences: &[Difference]) -> String {
    let lines = differences
        .iter()
        .map(|difference| format!("{difference}\n"));
    lines.collect()
}
