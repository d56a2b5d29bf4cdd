//! Templates, from which operators make organisations.
//!
//! A template is a file of JSON with comments: a document with holes, and the
//! typed parameters that fill them. The document that comes out stands alone.
//! A newer version of the template changes no organisation; an operator takes
//! it over with `organisation edit --upgrade`, which shows what changes.

mod fill;
mod parameter;

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

/// The change id of a document that no change has been made of yet.
const DRAFT_CHANGE_ID: &str = "draft";

/// The parameters as an operator gave them.
pub type Parameters = BTreeMap<String, Value>;

/// A document with holes, and the parameters that fill them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// The template's name.
    pub template: String,
    /// The template's version, raised with every edit of the file.
    pub version: u32,
    /// What it is for, in one line.
    pub description: String,
    /// The parameters.
    pub parameters: BTreeMap<String, Parameter>,
    /// The document; `{"$parameter": "NAME"}` stands for a parameter's value.
    pub document: Map<String, Value>,
}

impl Template {
    /// Reads a template from a file.
    ///
    /// # Errors
    ///
    /// Fails as [`Template::parse`] does, and where the file cannot be read.
    pub fn load(path: &Path) -> Result<Self> {
        let text = document::read_text(path)?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Reads a template from a text; `name` stands in the errors.
    ///
    /// # Errors
    ///
    /// Fails with the place of the fault: syntax, fields, a default outside of
    /// its own range, or a hole that no parameter fills.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let template: Self = document::parse(name, text)?;
        for (parameter, definition) in &template.parameters {
            definition.check_default(name, parameter)?;
        }
        fill::check_holes(name, &template)?;
        Ok(template)
    }

    /// Makes an organisation's document.
    ///
    /// The parameters that are not given take their defaults.
    ///
    /// # Errors
    ///
    /// Fails where a parameter is unknown, missing or outside of its range, or
    /// where the filled document is none.
    pub fn instantiate(&self, name: &OrganisationId, given: &Parameters) -> Result<Organisation> {
        let source = format!("template {} v{}", self.template, self.version);
        let values = self.values(&source, given)?;
        let mut document = fill::filled(&self.document, &values);
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
        document::typed(&key_of(name), Value::Object(document))
    }

    /// Returns the value of every parameter.
    fn values(&self, source: &str, given: &Parameters) -> Result<Parameters> {
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
