//! Defines the JSON messages of the store's API.

use super::sessions::{
    Session,         //
    SessionBehavior, //
};
use super::state::Entry;
use crate::duration::parse_duration;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{
    Deserialize,
    Serialize, //
};
use std::time::{
    Duration,
    Instant, //
};

/// An entry in a read's answer.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct EntryForm {
    lock_index: u64,
    key: String,
    flags: u64,
    value: String,
    create_index: u64,
    modify_index: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    session: Option<String>,
}

impl From<&Entry> for EntryForm {
    fn from(entry: &Entry) -> Self {
        Self {
            lock_index: entry.lock_index,
            key: entry.key.clone(),
            flags: 0,
            value: STANDARD.encode(&entry.value),
            create_index: entry.create_index,
            modify_index: entry.modify_index,
            session: entry.session.clone(),
        }
    }
}

/// The body of a request to create a session.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct SessionRequest {
    name: String,
    #[serde(rename = "TTL")]
    ttl: Option<String>,
    behavior: Option<String>,
    lock_delay: Option<String>,
}

impl SessionRequest {
    /// Returns the requested session, its durations divided by `clock_scale`.
    pub(super) fn session(self, clock_scale: f64, now: Instant) -> Result<Session, String> {
        let duration = |text: Option<String>| match text {
            Some(text) => {
                let parsed = parse_duration(&text)
                    .ok_or(format!("invalid duration `{text}` in the session request"))?;
                Ok::<_, String>(Some(parsed.div_f64(clock_scale)))
            }
            None => Ok(None),
        };
        let mut session = Session::new(self.name, duration(self.ttl)?, now);
        let lock_delay = duration(self.lock_delay)?;
        session.lock_delay = lock_delay.unwrap_or(LOCK_DELAY_DEFAULT.div_f64(clock_scale));
        session.behavior = match self.behavior.as_deref() {
            None | Some("" | "release") => SessionBehavior::Release,
            Some("delete") => SessionBehavior::Delete,
            Some(other) => return Err(format!("invalid session behavior `{other}`")),
        };
        Ok(session)
    }
}

/// The lock delay of a session whose request sets none.
const LOCK_DELAY_DEFAULT: Duration = Duration::from_secs(15);

/// The answer to a request to create a session.
#[derive(Serialize)]
pub(super) struct SessionCreated {
    #[serde(rename = "ID")]
    pub(super) id: String,
}

/// A session in the answer to a renewal.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct SessionForm {
    #[serde(rename = "ID")]
    id: String,
    name: String,
    behavior: &'static str,
    #[serde(rename = "TTL")]
    ttl: String,
    lock_delay: u64,
}

impl SessionForm {
    pub(super) fn new(id: &str, session: &Session) -> Self {
        Self {
            id: id.to_owned(),
            name: session.name.clone(),
            behavior: match session.behavior {
                SessionBehavior::Release => "release",
                SessionBehavior::Delete => "delete",
            },
            ttl: match session.ttl {
                Some(ttl) => format!("{}ms", ttl.as_millis()),
                None => String::new(),
            },
            lock_delay: u64::try_from(session.lock_delay.as_nanos()).unwrap_or(u64::MAX),
        }
    }
}
