//! Errors of reading and validating configuration.

use std::fmt;

/// The result of a fallible operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of a file or a document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {cause}")]
    Read {
        /// The file's name.
        file: String,
        /// Why.
        cause: String,
    },
    /// The text is not valid JSON with comments.
    #[error("{file}:{line}:{column}: {problem}")]
    Syntax {
        /// The file's name.
        file: String,
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// The problem.
        problem: String,
    },
    /// A field has an invalid value.
    #[error("{file}: {field}: {problem}; valid: {expected}")]
    Field {
        /// The file's name.
        file: String,
        /// Path of the field from the root.
        field: String,
        /// The problem.
        problem: String,
        /// What is valid.
        expected: String,
    },
}

impl Error {
    pub(crate) fn read(file: &str, cause: impl fmt::Display) -> Self {
        Self::Read {
            file: file.to_owned(),
            cause: cause.to_string(),
        }
    }

    pub(crate) fn field(
        file: &str,
        field: impl fmt::Display,
        problem: impl fmt::Display,
        expected: impl fmt::Display,
    ) -> Self {
        Self::Field {
            file: file.to_owned(),
            field: field.to_string(),
            problem: problem.to_string(),
            expected: expected.to_string(),
        }
    }

    /// Converts an error of foxtide-core about a value in `file`.
    pub(crate) fn from_core(file: &str, error: foxtide_core::Error) -> Self {
        match error {
            foxtide_core::Error::Field {
                field,
                problem,
                expected,
            } => Self::field(file, field, problem, expected),
            foxtide_core::Error::Parse { text, expected } => {
                Self::field(file, ".", format!("`{text}`"), expected)
            }
        }
    }
}
