//! Encodes and decodes organisations' documents in the store.

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

/// Key prefix of organisations' documents.
pub const ORGANISATION_PREFIX: &str = "foxtide/organisations/";

/// Returns the key of an organisation's document.
pub fn key_of(organisation: &OrganisationId) -> String {
    format!("{ORGANISATION_PREFIX}{organisation}")
}

/// Decodes and validates a stored document.
///
/// # Errors
///
/// Fails if the value is malformed, belongs to another organisation than the key, or is
/// an invalid document.
pub fn decode(key: &str, value: &[u8]) -> Result<Organisation> {
    let organisation = decode_unchecked(key, value)?;
    validate::check(&organisation)?;
    Ok(organisation)
}

/// Decodes a stored document without validating it, so that operators can repair it.
///
/// # Errors
///
/// Fails if the value is malformed, has another schema version or belongs to another
/// organisation than the key.
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

/// Encodes a document for the store.
///
/// # Errors
///
/// Fails if the value is larger than the store accepts.
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
