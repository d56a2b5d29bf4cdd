//! `foxtidectl organisation create`: creates an organisation from a template.

use super::parameters;
use crate::change_document::{
    self,
    DocumentChange, //
};
use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use argh::FromArgs;
use foxtide_config::{
    Template,
    change, //
};
use foxtide_core::ids::OrganisationId;
use std::path::Path;

/// Create an organisation from a template
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "create")]
pub(super) struct Create {
    /// the organisation's name
    #[argh(positional)]
    organisation: String,
    /// the template's file
    #[argh(option)]
    template: String,
    /// a file with template parameters
    #[argh(option)]
    parameters: Option<String>,
    /// a template parameter as NAME=VALUE; can be given several times
    #[argh(option)]
    set: Vec<String>,
}

impl Create {
    /// Instantiates the template and writes the document.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let name: OrganisationId = self.organisation.parse()?;
        let template = Template::load(Path::new(&self.template))?;
        let given = parameters::collect(&template, self.parameters.as_deref(), &self.set)?;
        let document = template.instantiate(&name, &given)?;
        if let Some(stored) = change::load(session.store(), &name).await? {
            return check_existing(session, &stored, &document);
        }
        let summary = format!("create from {} v{}", template.template, template.version);
        let edit = DocumentChange {
            base: None,
            document,
            summary,
        };
        change_document::apply(session, edit).await
    }
}

/// Succeeds if the existing organisation is identical to the requested one, which makes
/// the command idempotent, and refuses otherwise.
fn check_existing(
    _session: &Session,
    stored: &change::StoredDocument,
    document: &foxtide_core::organisation::Organisation,
) -> Result<Report, Failure> {
    let differences = change::differences(Some(stored), document);
    if differences.is_empty() {
        let text = format!(
            "Nothing to change: {} already has these values.",
            stored.document.revision
        );
        return Ok(Report::new(text, serde_json::json!({"written": false})));
    }
    let problem = format!("organisation `{}` already exists", document.organisation);
    let advice = "change it with `foxtidectl organisation edit`";
    Err(Failure::refused(problem, advice))
}
