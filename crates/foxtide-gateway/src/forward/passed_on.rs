//! What an instance tells another one to which it passes a request on.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Header of a request that an instance passes on, and of the reply to it.
pub(crate) const PASSED_ON: &str = "foxtide-passed-on";

/// Value of the header in the reply of an instance that has not taken the request.
pub(crate) const DECLINED: &str = "declined";

/// The size of the header line in a request, by which its head may exceed a caller's.
pub(crate) const LINE_MAX_BYTES: u64 = 160;

/// What has become of a request at the instance that passes it on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PassedOn {
    /// How often it was sent to upstreams.
    pub(crate) sent_attempts: u32,
    /// How long ago it came from its caller.
    pub(crate) waited: Duration,
    /// The version of the configuration under which it must be served at least.
    pub(crate) version: u64,
    /// Whether it was counted, and a token of its organisation's quota taken.
    pub(crate) is_counted: bool,
}

impl fmt::Display for PassedOn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {} {}",
            self.sent_attempts,
            self.waited.as_millis(),
            self.version,
            u8::from(self.is_counted)
        )
    }
}

/// The value of the header is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("valid: attempts, milliseconds, version and 0 or 1, separated by spaces")]
pub(crate) struct MalformedPassedOn;

impl FromStr for PassedOn {
    type Err = MalformedPassedOn;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fields: Vec<&str> = text.split(' ').collect();
        let [attempts, waited_ms, version, is_counted] = fields[..] else {
            return Err(MalformedPassedOn);
        };
        Ok(Self {
            sent_attempts: attempts.parse().map_err(|_| MalformedPassedOn)?,
            waited: Duration::from_millis(waited_ms.parse().map_err(|_| MalformedPassedOn)?),
            version: version.parse().map_err(|_| MalformedPassedOn)?,
            is_counted: match is_counted {
                "0" => false,
                "1" => true,
                _ => return Err(MalformedPassedOn),
            },
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn verify_what_is_passed_on_round_trips() {
        let passed_on = PassedOn {
            sent_attempts: 2,
            waited: Duration::from_millis(350),
            version: 14,
            is_counted: true,
        };
        assert_eq!(passed_on.to_string().parse(), Ok(passed_on));
        for malformed in ["", "1 2 3", "1 2 3 2", "a 2 3 1", "1 2 3 1 5", "-1 2 3 0"] {
            assert_eq!(malformed.parse::<PassedOn>(), Err(MalformedPassedOn));
        }
    }
}
