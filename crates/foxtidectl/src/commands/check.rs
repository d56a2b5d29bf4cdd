//! `foxtidectl check`: validates a file without writing anything.

use crate::failure::Failure;
use crate::report::Report;
use argh::FromArgs;
use foxtide_config::{
    Settings,
    Template,
    change,
    document, //
};
use foxtide_core::ids::OrganisationId;
use foxtide_core::organisation::Organisation;
use serde_json::{
    Value,
    json, //
};
use std::path::Path;

/// The organisation name used to instantiate a template for validation.
const TRIAL_NAME: &str = "trial";

/// Check a settings file, a template or an organisation's document
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// the file to check
    #[argh(positional)]
    file: String,
}

/// The kind of a file, detected by a field that only this kind has.
enum Kind {
    Settings,
    Template,
    Organisation,
}

impl Check {
    /// Detects the kind of the file and validates it.
    pub(crate) fn run(self) -> Result<Report, Failure> {
        let text = document::read_text(Path::new(&self.file))?;
        let value = document::parse_value(&self.file, &text)?;
        let found = match kind(&value) {
            Some(Kind::Settings) => settings(&self.file, &text)?,
            Some(Kind::Template) => template(&self.file, &text)?,
            Some(Kind::Organisation) => organisation(&self.file, &text)?,
            None => {
                let problem = format!("{}: neither settings, template nor organisation", self.file);
                let advice = "a template has `template`, settings have `instance`, \
                              an organisation has `organisation`";
                return Err(Failure::refused(problem, advice));
            }
        };
        let text = format!("{}: valid, {found}", self.file);
        Ok(Report::new(
            text,
            json!({"file": self.file, "valid": true, "kind": found}),
        ))
    }
}

fn kind(value: &Value) -> Option<Kind> {
    let has = |field: &str| value.get(field).is_some();
    if has("parameters") || has("document") {
        Some(Kind::Template)
    } else if has("instance") || has("store_address") {
        Some(Kind::Settings)
    } else if has("organisation") {
        Some(Kind::Organisation)
    } else {
        None
    }
}

fn settings(name: &str, text: &str) -> Result<String, Failure> {
    let settings = Settings::parse(name, text)?;
    Ok(format!("settings of instance {}", settings.instance))
}

/// Checks a template and, if all parameters have defaults, the resulting document.
fn template(name: &str, text: &str) -> Result<String, Failure> {
    let template = Template::parse(name, text)?;
    let title = format!("template {} v{}", template.template, template.version);
    if template
        .parameters
        .values()
        .any(|one| one.default.is_none())
    {
        return Ok(format!(
            "{title}; its document needs parameters to be checked"
        ));
    }
    let trial: OrganisationId = TRIAL_NAME.parse()?;
    let document = template.instantiate(&trial, &Default::default())?;
    change::check(&document)?;
    Ok(format!("{title} with its defaults"))
}

fn organisation(name: &str, text: &str) -> Result<String, Failure> {
    let document: Organisation = document::parse(name, text)?;
    change::check(&document)?;
    Ok(format!(
        "organisation {} {}",
        document.organisation, document.revision
    ))
}
