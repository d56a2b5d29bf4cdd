//! An organisation's document as the store holds it.

use crate::{
    Error,
    Result,
    document,
    validate, //
};
use foxtide_core::ids::OrganisationId;
use foxtide_core::organisation::{
    Organisation,
    SCHEMA_VERSION, //
};
use foxtide_core::store::VALUE_MAX_BYTES;

/// What the keys of all organisations' documents begin with.
pub const ORGANISATION_PREFIX: &str = "foxtide/organisations/";

/// Returns the key of an organisation's document.
pub fn key_of(organisation: &OrganisationId) -> String {
    format!("{ORGANISATION_PREFIX}{organisation}")
}

/// Takes a stored value as a document that can be put in force.
///
/// # Errors
///
/// Fails where the value is no document of the organisation that its key
/// names, or breaks a rule: a value that was not written by this crate may.
pub fn decode(key: &str, value: &[u8]) -> Result<Organisation> {
    let organisation = decode_unchecked(key, value)?;
    validate::check(&organisation)?;
    Ok(organisation)
}

/// Takes a stored value as a document, whether or not it keeps the rules, so
/// that an operator can mend one that does not.
///
/// # Errors
///
/// Fails where the value is no such document: not UTF-8, not JSON, a
/// duplicate or unknown field, a newer form, or another organisation's.
pub(super) fn decode_unchecked(key: &str, value: &[u8]) -> Result<Organisation> {
    let text = document::decode_text(key, value.to_vec())?;
    let organisation: Organisation = document::parse(key, &text)?;
    if organisation.schema_version != SCHEMA_VERSION {
        let problem = organisation.schema_version;
        return Err(Error::field(key, "schema_version", problem, SCHEMA_VERSION));
    }
    let name = &organisation.organisation;
    if key_of(name) != key {
        let expected = "the organisation that the key names";
        return Err(Error::field(key, "organisation", name, expected));
    }
    Ok(organisation)
}

/// Returns a document as the value that the store is to hold.
///
/// # Errors
///
/// Fails where the value would be larger than the store takes.
pub fn encode(organisation: &Organisation) -> Result<Vec<u8>> {
    let key = key_of(&organisation.organisation);
    let value = serde_json::to_vec(organisation).map_err(|error| Error::read(&key, error))?;
    if value.len() > VALUE_MAX_BYTES {
        let problem = format!("{} bytes", value.len());
        let expected = format!("at most {VALUE_MAX_BYTES} bytes in all");
        return Err(Error::field(&key, ".", problem, expected));
    }
    Ok(value)
}
