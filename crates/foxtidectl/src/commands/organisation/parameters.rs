//! Template parameters given on the command line.

use crate::failure::Failure;
use foxtide_config::Template;
use foxtide_config::document;
use foxtide_config::template::Parameters;
use std::path::Path;

/// The source named in errors about `--set`.
const SOURCE: &str = "--set";

/// Collects the parameters of a file and of `--set`; the latter takes precedence.
pub(super) fn collect(
    template: &Template,
    file: Option<&str>,
    settings: &[String],
) -> Result<Parameters, Failure> {
    let mut parameters = match file {
        Some(file) => document::parse(file, &document::read_text(Path::new(file))?)?,
        None => Parameters::new(),
    };
    for setting in settings {
        let (name, text) = split(setting)?;
        let Some(parameter) = template.parameters.get(name) else {
            let known: Vec<&str> = template.parameters.keys().map(String::as_str).collect();
            let problem = format!("--set: the template has no parameter `{name}`");
            return Err(Failure::refused(
                problem,
                format!("use one of {}", known.join(", ")),
            ));
        };
        let value = parameter.parse_text(SOURCE, name, text)?;
        parameters.insert(name.to_owned(), value);
    }
    Ok(parameters)
}

fn split(setting: &str) -> Result<(&str, &str), Failure> {
    setting.split_once('=').ok_or_else(|| {
        let problem = format!("--set: `{setting}` has no value");
        Failure::refused(problem, "write it as --set NAME=VALUE")
    })
}
