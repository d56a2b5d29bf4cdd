//! `foxtidectl organisation edit`: changes template parameters.

use super::parameters;
use crate::change_document;
use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use argh::FromArgs;
use foxtide_config::Template;
use foxtide_config::change::StoredDocument;
use foxtide_config::template::Parameters;
use foxtide_core::organisation::Organisation;
use std::path::Path;

/// Change an organisation's template parameters
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "edit")]
pub(super) struct Edit {
    /// the organisation's name
    #[argh(positional)]
    organisation: String,
    /// the template's file
    #[argh(option)]
    template: String,
    /// a template parameter as NAME=VALUE; can be given several times
    #[argh(option)]
    set: Vec<String>,
    /// a parameter to reset to the template's default; can be given several times
    #[argh(option)]
    unset: Vec<String>,
    /// apply the template even if it differs in name or version from the one that
    /// the organisation was created from
    #[argh(switch)]
    upgrade: bool,
}

impl Edit {
    /// Instantiates the template with the changed parameters and writes the document.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let template = Template::load(Path::new(&self.template))?;
        let base = session.load(&self.organisation).await?;
        let given = self.parameters(&template, &base.document)?;
        let fresh = template.instantiate(&base.document.organisation, &given)?;
        let document = with_moves_and_drains(&base, fresh);
        let edit = change_document::DocumentChange {
            base: Some(base),
            document,
            summary: self.summary(&template),
        };
        change_document::apply(session, edit).await
    }

    /// Returns the parameters after the change.
    fn parameters(
        &self,
        template: &Template,
        current: &Organisation,
    ) -> Result<Parameters, Failure> {
        let mut parameters = self.current_parameters(template, current)?;
        for name in &self.unset {
            parameters.remove(name);
        }
        parameters.extend(parameters::collect(template, None, &self.set)?);
        Ok(parameters)
    }

    /// Returns the current parameters if the template matches the organisation's.
    fn current_parameters(
        &self,
        template: &Template,
        current: &Organisation,
    ) -> Result<Parameters, Failure> {
        let Some(used) = &current.template else {
            let problem = "the organisation was not created from a template";
            return Err(Failure::refused(
                problem,
                "create the organisation again from a template",
            ));
        };
        let same = used.name == template.template && used.version == template.version;
        if same || self.upgrade {
            return Ok(used.parameters.clone());
        }
        let problem = format!(
            "the organisation uses template {} v{}, but the file contains {} v{}",
            used.name, used.version, template.template, template.version
        );
        let advice = "use the file of that version, or add --upgrade to apply this one";
        Err(Failure::refused(problem, advice))
    }

    fn summary(&self, template: &Template) -> String {
        let mut parts = Vec::new();
        if self.upgrade {
            parts.push(format!(
                "take over {} v{}",
                template.template, template.version
            ));
        }
        parts.extend(self.set.iter().map(|setting| format!("set {setting}")));
        parts.extend(self.unset.iter().map(|name| format!("unset {name}")));
        parts.join(", ")
    }
}

/// Returns the new document with the moves and drains of the current one, which are not
/// part of templates.
fn with_moves_and_drains(base: &StoredDocument, fresh: Organisation) -> Organisation {
    Organisation {
        moves: base.document.moves.clone(),
        drains: base.document.drains.clone(),
        ..fresh
    }
}
