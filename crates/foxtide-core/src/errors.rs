//! The error type of parsing and validation.

use std::fmt;

/// The result of a fallible operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of parsing or validating a value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not a valid value of its type.
    #[error("`{text}` is not {expected}")]
    Parse {
        /// The rejected text.
        text: String,
        /// A description of valid values.
        expected: &'static str,
    },
    /// A field of a document holds an invalid value.
    #[error("{field}: {problem}; valid: {expected}")]
    Field {
        /// The field's path from the root of the document.
        field: String,
        /// The reason for the rejection.
        problem: String,
        /// A description of valid values.
        expected: String,
    },
}

impl Error {
    /// Creates the error for a text that does not parse.
    pub fn parse(text: &str, expected: &'static str) -> Self {
        Self::Parse {
            text: text.to_owned(),
            expected,
        }
    }

    /// Creates the error for an invalid field.
    pub fn field(
        field: impl fmt::Display,
        problem: impl fmt::Display,
        expected: impl fmt::Display,
    ) -> Self {
        Self::Field {
            field: field.to_string(),
            problem: problem.to_string(),
            expected: expected.to_string(),
        }
    }
}
