//! Substitutes parameters for a template's placeholders.

use super::{
    Parameters,
    Template, //
};
use crate::{
    Error,
    Result, //
};
use serde_json::{
    Map,
    Value, //
};

/// Key of the object that is a placeholder.
const PLACEHOLDER_KEY: &str = "$parameter";

/// Returns the parameter's name if an object is a placeholder.
fn placeholder(object: &Map<String, Value>) -> Option<&str> {
    object.get(PLACEHOLDER_KEY).and_then(Value::as_str)
}

/// Returns the document with values for its placeholders.
pub(super) fn substitute(document: &Map<String, Value>, values: &Parameters) -> Map<String, Value> {
    let fields = document
        .iter()
        .map(|(key, value)| (key.clone(), substitute_value(value, values)));
    fields.collect()
}

fn substitute_value(value: &Value, values: &Parameters) -> Value {
    match value {
        Value::Object(object) => match placeholder(object).and_then(|name| values.get(name)) {
            Some(value) => value.clone(),
            None => Value::Object(substitute(object, values)),
        },
        Value::Array(list) => list
            .iter()
            .map(|entry| substitute_value(entry, values))
            .collect(),
        plain => plain.clone(),
    }
}

/// Checks that each placeholder has a parameter and each parameter is used.
pub(super) fn check_placeholders(file: &str, template: &Template) -> Result<()> {
    let mut used = Vec::new();
    collect_names(&Value::Object(template.document.clone()), &mut used);
    let known: Vec<&str> = template.parameters.keys().map(String::as_str).collect();
    for name in &used {
        if !template.parameters.contains_key(name) {
            let problem = format!("`{name}` is not a parameter");
            return Err(Error::field(file, "document", problem, known.join(", ")));
        }
    }
    let unused = known
        .into_iter()
        .find(|name| !used.iter().any(|one| one == name));
    match unused {
        Some(name) => Err(Error::field(
            file,
            format!("parameters.{name}"),
            "is not used in the document",
            format!("{{\"{PLACEHOLDER_KEY}\": \"{name}\"}} in the document, or no such parameter"),
        )),
        None => Ok(()),
    }
}

fn collect_names(value: &Value, used: &mut Vec<String>) {
    match value {
        Value::Object(object) => match placeholder(object) {
            Some(name) => used.push(name.to_owned()),
            None => object.values().for_each(|value| collect_names(value, used)),
        },
        Value::Array(list) => list.iter().for_each(|value| collect_names(value, used)),
        _ => {}
    }
}
