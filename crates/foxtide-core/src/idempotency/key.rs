//! Idempotency keys that name the process which may run them.

use crate::ids::InstanceId;
use crate::time::WallTime;
use serde::Serialize;
use std::fmt;
use std::str::FromStr;
use uuid::{
    Builder,
    Uuid, //
};

const OWNER_SEPARATOR: char = ':';
const PROCESS_SEPARATOR: char = '.';
const PROCESS_DIGITS: usize = 16;
const UUID_RANDOM_BYTES: usize = 10;
const UUID_TIME_SHIFT: u32 = 80;
const UUID_VERSION_TIME_ORDERED: usize = 7;

/// Why a text is not a valid idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The key has no owner part, such as a plain UUID.
    #[error("key `{text}` has no owner; valid: OWNER:UUID, with the owner from a response")]
    NoOwner {
        /// The key.
        text: String,
    },
    /// The owner part is malformed.
    #[error("`{text}` is not an owner; valid: INSTANCE.PROCESS, such as entry-3.9f2c8a7b6d5e4f30")]
    Owner {
        /// The owner part.
        text: String,
    },
    /// The last part is not a UUID of version 7.
    #[error("key part `{text}` is not a UUID of version 7 (RFC 9562, section 5.7)")]
    Uuid {
        /// The last part.
        text: String,
    },
}

impl KeyError {
    fn no_owner(text: &str) -> Self {
        let text = text.to_owned();
        Self::NoOwner { text }
    }

    fn owner(text: &str) -> Self {
        let text = text.to_owned();
        Self::Owner { text }
    }

    fn uuid(text: &str) -> Self {
        let text = text.to_owned();
        Self::Uuid { text }
    }
}

/// A random number that identifies one process of an instance.
///
/// An instance draws a new number whenever it starts, since each process starts with an
/// empty table. Written as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProcessNumber(u64);

impl ProcessNumber {
    /// Returns the process number for a random value.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ProcessNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ProcessNumber {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != PROCESS_DIGITS || !text.bytes().all(is_digit) {
            return Err(KeyError::owner(text));
        }
        let number = u64::from_str_radix(text, 16);
        number.map(Self).map_err(|_| KeyError::owner(text))
    }
}

/// Identifies the process of an instance that may run a key. Written as `INSTANCE.PROCESS`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(into = "String")]
pub struct OwnerId {
    /// The instance.
    pub instance: InstanceId,
    /// The process of the instance.
    pub process: ProcessNumber,
}

impl fmt::Display for OwnerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{PROCESS_SEPARATOR}{}", self.instance, self.process)
    }
}

impl From<OwnerId> for String {
    fn from(owner: OwnerId) -> Self {
        owner.to_string()
    }
}

impl FromStr for OwnerId {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let parts = text.split_once(PROCESS_SEPARATOR);
        let (instance, process) = parts.ok_or_else(|| KeyError::owner(text))?;
        let instance = instance.parse().map_err(|_| KeyError::owner(text))?;
        let process = process.parse()?;
        Ok(Self { instance, process })
    }
}

/// The value of an `Idempotency-Key` header (draft-ietf-httpapi-idempotency-key-header):
/// `OWNER:UUID`.
///
/// The UUID is of version 7 (RFC 9562, section 5.7) and contains the time at which the
/// caller minted the key; keys are ordered by it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    owner: OwnerId,
    uuid: Uuid,
}

impl IdempotencyKey {
    /// Returns a new key for `owner`, minted at `now` with the given random bytes.
    pub fn mint(owner: OwnerId, now: WallTime, random: [u8; UUID_RANDOM_BYTES]) -> Self {
        let uuid = Builder::from_unix_timestamp_millis(now.as_ms(), &random).into_uuid();
        Self { owner, uuid }
    }

    /// Returns the process that may run the key.
    pub fn owner(&self) -> &OwnerId {
        &self.owner
    }

    /// Returns the UUID, which is unique per owner.
    pub(crate) fn uuid(&self) -> Uuid {
        self.uuid
    }

    /// Returns when the caller minted the key, by the caller's clock.
    pub fn minted_at(&self) -> WallTime {
        minted_at(self.uuid)
    }
}

/// Returns the timestamp of a UUID of version 7, its first 48 bits.
pub(super) fn minted_at(uuid: Uuid) -> WallTime {
    let ms = uuid.as_u128() >> UUID_TIME_SHIFT;
    WallTime::from_ms(u64::try_from(ms).unwrap_or(u64::MAX))
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{OWNER_SEPARATOR}{}", self.owner, self.uuid)
    }
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    /// Parses a key, with or without the quotes of a structured field (RFC 9651, section
    /// 3.3.3).
    fn from_str(text: &str) -> Result<Self, KeyError> {
        let text = unquoted(text.trim());
        let parts = text.rsplit_once(OWNER_SEPARATOR);
        let (owner, uuid) = parts.ok_or_else(|| KeyError::no_owner(text))?;
        let owner = owner.parse()?;
        let uuid = parse_time_ordered(uuid)?;
        Ok(Self { owner, uuid })
    }
}

fn unquoted(text: &str) -> &str {
    let inner = text.strip_prefix('"');
    inner
        .and_then(|inner| inner.strip_suffix('"'))
        .unwrap_or(text)
}

fn parse_time_ordered(text: &str) -> Result<Uuid, KeyError> {
    let uuid = Uuid::try_parse(text).map_err(|_| KeyError::uuid(text))?;
    if uuid.get_version_num() != UUID_VERSION_TIME_ORDERED {
        return Err(KeyError::uuid(text));
    }
    Ok(uuid)
}
