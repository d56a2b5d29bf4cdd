//! `foxtidectl organisation diff`: compares an organisation with a template.

use super::parameters;
use crate::change_document::difference_lines;
use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use argh::FromArgs;
use foxtide_config::{
    Template,
    change, //
};
use foxtide_core::organisation::Organisation;
use serde_json::json;
use std::path::Path;

/// Show what a template file and parameters would change in an organisation
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub(super) struct Diff {
    /// the organisation's name
    #[argh(positional)]
    organisation: String,
    /// the template's file
    #[argh(option)]
    template: String,
    /// a file with template parameters, default the organisation's parameters
    #[argh(option)]
    parameters: Option<String>,
    /// a template parameter as NAME=VALUE; can be given several times
    #[argh(option)]
    set: Vec<String>,
}

impl Diff {
    /// Prints the differences without writing.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let template = Template::load(Path::new(&self.template))?;
        let stored = session.load(&self.organisation).await?;
        let used = stored.document.template.as_ref();
        let mut given = match &self.parameters {
            Some(_) => Default::default(),
            None => used.map(|used| used.parameters.clone()).unwrap_or_default(),
        };
        given.extend(parameters::collect(
            &template,
            self.parameters.as_deref(),
            &self.set,
        )?);
        let fresh = template.instantiate(&stored.document.organisation, &given)?;
        let document = Organisation {
            moves: stored.document.moves.clone(),
            drains: stored.document.drains.clone(),
            ..fresh
        };
        let differences = change::differences(Some(&stored), &document);
        let text = match differences.is_empty() {
            true => format!("No differences from {}.", stored.document.revision),
            false => difference_lines(&differences),
        };
        Ok(Report::new(text, json!(differences)))
    }
}
