//! Strict parser of JSON with comments: rejects duplicate keys and unknown fields, and
//! reports the position of errors.

use crate::{
    Error,
    Result, //
};
use foxtide_core::store::VALUE_MAX_BYTES;
use jsonc_parser::ast::{
    Object,
    Value as Node, //
};
use jsonc_parser::common::Ranged;
use jsonc_parser::errors::ParseError;
use jsonc_parser::{
    CollectOptions,
    ParseOptions, //
};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::Path;

/// Extensions of JSON: only comments and trailing commas.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Reads a file's text.
///
/// # Errors
///
/// Fails if the file cannot be read, is larger than the store accepts or is not UTF-8.
pub fn read_text(path: &Path) -> Result<String> {
    let name = path.display().to_string();
    let bytes = std::fs::read(path).map_err(|error| Error::read(&name, error))?;
    decode_text(&name, bytes)
}

/// Decodes UTF-8 of at most [`VALUE_MAX_BYTES`].
pub(crate) fn decode_text(name: &str, bytes: Vec<u8>) -> Result<String> {
    if bytes.len() > VALUE_MAX_BYTES {
        let size = format!("{} bytes, more than {VALUE_MAX_BYTES}", bytes.len());
        return Err(Error::read(name, size));
    }
    String::from_utf8(bytes).map_err(|error| {
        let at = error.utf8_error().valid_up_to();
        Error::read(name, format!("not UTF-8 at byte {at}"))
    })
}

/// Parses JSON with comments into a value.
///
/// # Errors
///
/// Fails with the line and column of a syntax error or a duplicate key.
pub fn parse_value(name: &str, text: &str) -> Result<Value> {
    let collected = jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS)
        .map_err(|error| syntax_error(name, &error))?;
    let Some(root) = collected.value else {
        return Err(error_at(name, text, 0, "the document is empty".to_owned()));
    };
    reject_duplicate_keys(name, text, &root)?;
    jsonc_parser::parse_to_serde_value(text, &PARSE_OPTIONS)
        .map_err(|error| syntax_error(name, &error))
}

/// Parses JSON with comments into a typed value.
///
/// # Errors
///
/// Fails like [`parse_value`], and with the path of an unknown, missing or invalid field.
pub fn parse<T: DeserializeOwned>(name: &str, text: &str) -> Result<T> {
    from_value(name, parse_value(name, text)?)
}

/// Converts a value to a typed one.
///
/// # Errors
///
/// Fails with the path of an unknown, missing or invalid field.
pub fn from_value<T: DeserializeOwned>(name: &str, value: Value) -> Result<T> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let field = error.path().to_string();
        let message = error.into_inner().to_string();
        let (problem, expected) = split_message(&message);
        Error::field(name, field, problem, expected)
    })
}

/// Splits a message of serde into the problem and what is valid.
fn split_message(message: &str) -> (&str, &str) {
    for separator in [", expected ", " is not "] {
        if let Some((problem, expected)) = message.split_once(separator) {
            return (problem, describe_type(expected));
        }
    }
    if message.starts_with("missing field") {
        return (message, "the field with a value");
    }
    if message.ends_with("address syntax") {
        return (
            message,
            "an IP address with a port, such as `10.0.0.1:8080`",
        );
    }
    (message, "see docs/SETTINGS.md")
}

/// Describes a Rust type in terms of JSON.
fn describe_type(expected: &str) -> &str {
    match expected {
        "u8" | "u16" | "u32" | "u64" | "usize" => "a whole number, 0 or more, without a unit",
        "f64" => "a number, without a unit",
        "a sequence" => "a list",
        other => other,
    }
}

fn syntax_error(name: &str, error: &ParseError) -> Error {
    Error::Syntax {
        file: name.to_owned(),
        line: error.line_display(),
        column: error.column_display(),
        problem: error.kind().to_string(),
    }
}

fn error_at(name: &str, text: &str, offset: usize, problem: String) -> Error {
    let before = &text[..offset];
    let line_start = before.rfind('\n').map_or(0, |at| at + 1);
    Error::Syntax {
        file: name.to_owned(),
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count() + 1,
        problem,
    }
}

fn reject_duplicate_keys(name: &str, text: &str, node: &Node<'_>) -> Result<()> {
    match node {
        Node::Object(object) => reject_duplicate_keys_in(name, text, object),
        Node::Array(array) => array
            .elements
            .iter()
            .try_for_each(|element| reject_duplicate_keys(name, text, element)),
        _ => Ok(()),
    }
}

fn reject_duplicate_keys_in(name: &str, text: &str, object: &Object<'_>) -> Result<()> {
    let mut seen = BTreeSet::new();
    for property in &object.properties {
        let key = property.name.as_str();
        if !seen.insert(key) {
            let problem = format!("duplicate key `{key}`; keys of an object must be unique");
            return Err(error_at(name, text, property.start(), problem));
        }
        reject_duplicate_keys(name, text, &property.value)?;
    }
    Ok(())
}
