//! Templates of organisations' documents.
//!
//! A template is a file of JSON with comments: a document with placeholders and the typed
//! parameters for them. A newer version of a template changes existing organisations only
//! by `organisation edit --upgrade`.

mod parameter;
mod substitute;

pub use parameter::{
    Parameter,
    ParameterKind, //
};

use crate::change::key_of;
use crate::{
    Error,
    Result,
    document, //
};
use foxtide_core::ids::OrganisationId;
use foxtide_core::organisation::{
    AppliedTemplate,
    Organisation,
    SCHEMA_VERSION, //
};
use foxtide_core::units::Revision;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    Map,
    Value,
    json, //
};
use std::collections::BTreeMap;
use std::path::Path;

/// Change id of a document that was not accepted yet.
const DRAFT_CHANGE_ID: &str = "draft";

/// Values of parameters by name.
pub type Parameters = BTreeMap<String, Value>;

/// A document with placeholders and their parameters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Name of the template.
    pub template: String,
    /// Version, increased with every edit of the file.
    pub version: u32,
    /// Description in one line.
    pub description: String,
    /// Parameters by name.
    pub parameters: BTreeMap<String, Parameter>,
    /// Document in which `{"$parameter": "NAME"}` is a placeholder.
    pub document: Map<String, Value>,
}

impl Template {
    /// Reads a template from a file.
    ///
    /// # Errors
    ///
    /// Fails like [`Template::parse`], and if the file cannot be read.
    pub fn load(path: &Path) -> Result<Self> {
        let text = document::read_text(path)?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses a template; errors contain `name`.
    ///
    /// # Errors
    ///
    /// Fails on invalid syntax or fields, on a default outside of its range, and on a
    /// placeholder without a parameter or the reverse.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let template: Self = document::parse(name, text)?;
        for (parameter, definition) in &template.parameters {
            definition.check_default(name, parameter)?;
        }
        substitute::check_placeholders(name, &template)?;
        Ok(template)
    }

    /// Creates an organisation's document, with defaults for parameters not given.
    ///
    /// # Errors
    ///
    /// Fails if a parameter is unknown, missing or invalid, or the resulting document is
    /// malformed.
    pub fn instantiate(&self, name: &OrganisationId, given: &Parameters) -> Result<Organisation> {
        let source = format!("template {} v{}", self.template, self.version);
        let values = self.resolve_values(&source, given)?;
        let mut document = substitute::substitute(&self.document, &values);
        let used = AppliedTemplate {
            name: self.template.clone(),
            version: self.version,
            parameters: given.clone(),
        };
        document.insert("schema_version".to_owned(), json!(SCHEMA_VERSION));
        document.insert("organisation".to_owned(), json!(name));
        document.insert("revision".to_owned(), json!(Revision::ZERO));
        document.insert("change_id".to_owned(), json!(DRAFT_CHANGE_ID));
        document.insert("template".to_owned(), json!(used));
        document::from_value(&key_of(name), Value::Object(document))
    }

    /// Returns the values of all parameters.
    fn resolve_values(&self, source: &str, given: &Parameters) -> Result<Parameters> {
        for name in given.keys() {
            if !self.parameters.contains_key(name) {
                let known: Vec<&str> = self.parameters.keys().map(String::as_str).collect();
                let problem = "there is no such parameter";
                return Err(Error::field(source, name, problem, known.join(", ")));
            }
        }
        let values = self.parameters.iter().map(|(name, parameter)| {
            let value = parameter.value(source, name, given.get(name))?;
            Ok((name.clone(), value))
        });
        values.collect()
    }
}
