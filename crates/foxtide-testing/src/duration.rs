//! Parses durations such as `500ms`.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Parses a duration in Go's format with a single unit: `500ms`, `10s`, `2m`, `1h`.
pub(crate) fn parse_duration(text: &str) -> Option<Duration> {
    let unit_at = text.find(|c: char| c.is_ascii_alphabetic())?;
    let (number, unit) = text.split_at(unit_at);
    let number: f64 = number.parse().ok()?;
    let unit_s = match unit {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3_600.0,
        _ => return None,
    };
    Duration::try_from_secs_f64(number * unit_s).ok()
}

/// A duration argument of a script command, such as `500ms` or `10s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DurationArg(pub Duration);

/// The text is not a valid duration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a duration such as `500ms`, `10s`, `2m` or `1h`")]
pub struct DurationArgError(String);

impl FromStr for DurationArg {
    type Err = DurationArgError;

    fn from_str(text: &str) -> Result<Self, DurationArgError> {
        let parsed = parse_duration(text);
        parsed
            .map(Self)
            .ok_or_else(|| DurationArgError(text.to_owned()))
    }
}

impl fmt::Display for DurationArg {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0.as_millis())
    }
}
