//! `foxtidectl template list`: lists the templates in a directory.

use crate::failure::Failure;
use crate::report::{
    Report,
    Table, //
};
use argh::FromArgs;
use foxtide_config::{
    Template,
    document, //
};
use serde_json::json;
use std::path::{
    Path,
    PathBuf, //
};

/// The suffix of template file names.
const FILE_SUFFIX: &str = "template.jsonc";

/// List the templates in a directory and its direct subdirectories
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(super) struct List {
    /// the directory, default the current one
    #[argh(positional, default = "String::from(\".\")")]
    directory: String,
}

impl List {
    /// Lists all files whose name ends in `template.jsonc`.
    pub(super) fn run(self) -> Result<Report, Failure> {
        let mut table = Table::new(["template", "version", "parameters", "file", "description"]);
        let mut json = Vec::new();
        for path in files(Path::new(&self.directory))? {
            let template = read(&path)?;
            json.push(json!({
                "template": template.template,
                "version": template.version,
                "file": path,
                "description": template.description,
            }));
            table.row([
                template.template,
                template.version.to_string(),
                template.parameters.len().to_string(),
                path.display().to_string(),
                template.description,
            ]);
        }
        Ok(Report::new(table.text(), json!(json)))
    }
}

fn read(path: &Path) -> Result<Template, Failure> {
    let text = document::read_text(path)?;
    Ok(Template::parse(&path.display().to_string(), &text)?)
}

/// Returns the template files in a directory and its direct subdirectories.
fn files(directory: &Path) -> Result<Vec<PathBuf>, Failure> {
    let mut found = Vec::new();
    for path in entries(directory)? {
        if path.is_dir() {
            found.extend(entries(&path)?.into_iter().filter(|path| is_template(path)));
        } else if is_template(&path) {
            found.push(path);
        }
    }
    found.sort();
    Ok(found)
}

fn entries(directory: &Path) -> Result<Vec<PathBuf>, Failure> {
    let unreadable = |error: std::io::Error| {
        let problem = format!("{}: {error}", directory.display());
        Failure::refused(problem, "give a directory that can be read")
    };
    let entries = std::fs::read_dir(directory).map_err(unreadable)?;
    Ok(entries.flatten().map(|entry| entry.path()).collect())
}

fn is_template(path: &Path) -> bool {
    let name = path.file_name().and_then(|name| name.to_str());
    name.is_some_and(|name| name.ends_with(FILE_SUFFIX))
}
