//! The errors of reading, checking and changing configuration.

use std::fmt;

/// The result of a fallible operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a file or a document cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A file cannot be read at all.
    #[error("{file}: cannot be read: {cause}")]
    Read {
        /// The file's name.
        file: String,
        /// Why.
        cause: String,
    },
    /// A text is not JSON with comments.
    #[error("{file}:{line}:{column}: {problem}")]
    Syntax {
        /// The file's name.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
        /// What is wrong there.
        problem: String,
    },
    /// A field holds what cannot be accepted.
    #[error("{file}: {field}: {problem}; valid: {expected}")]
    Field {
        /// The file's name.
        file: String,
        /// The field's path from the root.
        field: String,
        /// What is wrong with it.
        problem: String,
        /// What would be valid.
        expected: String,
    },
}

impl Error {
    /// Returns the error for a file that cannot be read.
    pub(crate) fn read(file: &str, cause: impl fmt::Display) -> Self {
        Self::Read {
            file: file.to_owned(),
            cause: cause.to_string(),
        }
    }

    /// Returns the error for a field that cannot be accepted.
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

    /// Returns the error of a check of the core's, found in `file`.
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
