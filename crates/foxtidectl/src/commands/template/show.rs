//! `foxtidectl template show`: prints the parameters of a template.

use crate::failure::Failure;
use crate::report::{
    Report,
    Table, //
};
use argh::FromArgs;
use foxtide_config::Template;
use serde_json::json;
use std::path::Path;

/// Show a template's parameters with their ranges and defaults
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub(super) struct Show {
    /// the template's file
    #[argh(positional)]
    file: String,
}

impl Show {
    /// Lists the parameters.
    pub(super) fn run(self) -> Result<Report, Failure> {
        let template = Template::load(Path::new(&self.file))?;
        let mut table = Table::new(["parameter", "default", "valid", "description"]);
        for (name, parameter) in &template.parameters {
            let default = parameter.default.as_ref();
            table.row([
                name.clone(),
                default.map_or("(required)".to_owned(), |value| value.to_string()),
                parameter.expected(),
                parameter.description.clone(),
            ]);
        }
        let text = format!(
            "{} v{}: {}\n\n{}",
            template.template,
            template.version,
            template.description,
            table.text()
        );
        Ok(Report::new(text, json!(template)))
    }
}
