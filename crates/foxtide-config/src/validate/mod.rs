//! Validates documents beyond the types of their fields.
//!
//! Names are unique and references resolve, shares of homes sum to one, links connect
//! homes, moves keep the shift cap, and drains leave each service an upstream.

mod contracts;
mod drains;
mod moves;
mod topology;
mod upstreams;

use crate::blocks::RESERVED_PREFIX;
use crate::change::key_of;
use crate::{
    Error,
    Result, //
};
use foxtide_core::organisation::{
    Organisation,
    SCHEMA_VERSION, //
};
use std::collections::BTreeSet;
use std::fmt::Display;

/// Validates a document.
///
/// # Errors
///
/// Fails with the path of the first invalid field and what is valid.
pub fn check(document: &Organisation) -> Result<()> {
    let validator = Validator {
        document,
        file: key_of(&document.organisation),
    };
    validator.schema()?;
    validator.name()?;
    validator.topology()?;
    validator.services()?;
    validator.upstreams()?;
    validator.moves()?;
    validator.drains()
}

/// Validates one document.
struct Validator<'a> {
    document: &'a Organisation,
    file: String,
}

impl Validator<'_> {
    fn schema(&self) -> Result<()> {
        let version = self.document.schema_version;
        if version != SCHEMA_VERSION {
            return self.fail("schema_version", version, SCHEMA_VERSION);
        }
        Ok(())
    }

    fn name(&self) -> Result<()> {
        let name = &self.document.organisation;
        if name.as_str().starts_with(RESERVED_PREFIX) {
            let problem = format!("`{name}` is a reserved name");
            let expected = format!("a name that does not begin with `{RESERVED_PREFIX}`");
            return self.fail("organisation", problem, expected);
        }
        Ok(())
    }

    /// Returns the error of an invalid field.
    fn fail<T>(
        &self,
        field: impl Display,
        problem: impl Display,
        expected: impl Display,
    ) -> Result<T> {
        Err(Error::field(&self.file, field, problem, expected))
    }

    /// Fails on the first duplicate name.
    fn check_unique<T: Ord + Display>(
        &self,
        field: impl Display,
        names: impl IntoIterator<Item = T>,
    ) -> Result<()> {
        let mut seen = BTreeSet::new();
        for name in names {
            if seen.contains(&name) {
                let problem = format!("duplicate `{name}`");
                return self.fail(field, problem, "unique values");
            }
            seen.insert(name);
        }
        Ok(())
    }

    /// Fails if a value is out of range.
    fn check_range<T: PartialOrd + Display>(
        &self,
        field: impl Display,
        value: T,
        least: T,
        most: T,
    ) -> Result<()> {
        if value < least || value > most {
            return self.fail(field, value, format!("from {least} to {most}"));
        }
        Ok(())
    }

    /// Returns the names of all regions, for errors.
    fn known_regions(&self) -> String {
        let regions = self.document.regions.iter();
        let names: Vec<&str> = regions.map(|region| region.region.as_str()).collect();
        names.join(", ")
    }
}
