//! The error type of the decisions and of the values they work on.

use std::fmt;

/// The result of a fallible operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// What went wrong while a value was parsed or checked.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A value's text does not have the form its type requires.
    #[error("`{text}` is not {expected}")]
    Parse {
        /// The text that was given.
        text: String,
        /// What would be valid.
        expected: &'static str,
    },
    /// A field of a document holds a value that cannot be accepted.
    #[error("{field}: {problem}; valid: {expected}")]
    Field {
        /// The field's path from the root of the document.
        field: String,
        /// What is wrong with it.
        problem: String,
        /// What would be valid.
        expected: String,
    },
}

impl Error {
    /// Returns the error for a text that does not parse.
    pub fn parse(text: &str, expected: &'static str) -> Self {
        Self::Parse {
            text: text.to_owned(),
            expected,
        }
    }

    /// Returns the error for a field that cannot be accepted.
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
