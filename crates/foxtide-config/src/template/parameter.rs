//! Typed parameters of templates.

use crate::{
    Error,
    Result, //
};
use foxtide_core::organisation::HomeRegion;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    Value,
    json, //
};
use std::fmt;

/// A parameter with its type and range.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parameter {
    /// Type of the values.
    #[serde(rename = "type")]
    pub kind: ParameterKind,
    /// Description in one line.
    pub description: String,
    /// Default; without one a value must be given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default: Option<Value>,
    /// Minimum of a number.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub least: Option<f64>,
    /// Maximum of a number.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub most: Option<f64>,
}

/// Type of a parameter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ParameterKind {
    /// A share from 0 to 1.
    Share,
    /// A change of a share per second.
    SharePerS,
    /// Requests a second.
    RateRps,
    /// Whole seconds.
    Seconds,
    /// Whole milliseconds.
    Milliseconds,
    /// A whole number.
    Count,
    /// The routing priority: `latency` or `headroom`.
    Priority,
    /// Home regions with their shares: a list of `{"region": …, "share": …}`, or
    /// `khomas=0.5,erongo=0.5` on a command line.
    Homes,
}

impl ParameterKind {
    /// Returns the suffix of the unit on a command line.
    fn unit(self) -> &'static str {
        match self {
            Self::SharePerS => "/s",
            Self::RateRps => "rps",
            Self::Seconds => "s",
            Self::Milliseconds => "ms",
            Self::Share | Self::Count | Self::Priority | Self::Homes => "",
        }
    }

    fn is_whole(self) -> bool {
        matches!(self, Self::Seconds | Self::Milliseconds | Self::Count)
    }

    /// Returns the range of the type.
    fn bounds(self) -> (f64, f64) {
        match self {
            Self::Share | Self::SharePerS => (0.0, 1.0),
            Self::RateRps => (0.0, f64::MAX),
            _ => (0.0, f64::from(u32::MAX)),
        }
    }
}

impl fmt::Display for ParameterKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::Share => "a share",
            Self::SharePerS => "a change of a share in a second",
            Self::RateRps => "requests a second",
            Self::Seconds => "whole seconds",
            Self::Milliseconds => "whole milliseconds",
            Self::Count => "a whole number",
            Self::Priority => "`latency` or `headroom`",
            Self::Homes => "regions with their shares, such as `khomas=0.6,erongo=0.4`",
        };
        f.write_str(name)
    }
}

impl Parameter {
    /// Describes the valid values with their range and unit.
    pub fn expected(&self) -> String {
        if matches!(self.kind, ParameterKind::Priority | ParameterKind::Homes) {
            return self.kind.to_string();
        }
        let (least, most) = self.range();
        let unit = self.kind.unit();
        if most == f64::MAX {
            return format!("{}, {least}{unit} or more", self.kind);
        }
        format!("{} from {least}{unit} to {most}{unit}", self.kind)
    }

    fn range(&self) -> (f64, f64) {
        let (least, most) = self.kind.bounds();
        (self.least.unwrap_or(least), self.most.unwrap_or(most))
    }

    /// Parses a value given on a command line.
    ///
    /// # Errors
    ///
    /// Fails if the text is malformed or has another unit.
    pub fn parse_text(&self, source: &str, name: &str, text: &str) -> Result<Value> {
        let value = match self.kind {
            ParameterKind::Priority => Some(json!(text)),
            ParameterKind::Homes => parse_homes(text),
            kind => parse_number(text, kind),
        };
        let problem = format!("`{text}`");
        value.ok_or_else(|| Error::field(source, name, problem, self.expected()))
    }

    /// Returns the given value or else the default.
    pub(super) fn value(&self, source: &str, name: &str, given: Option<&Value>) -> Result<Value> {
        let Some(value) = given.or(self.default.as_ref()) else {
            return Err(Error::field(source, name, "not given", self.expected()));
        };
        if !self.accepts(value) {
            let problem = format!("`{value}`");
            return Err(Error::field(source, name, problem, self.expected()));
        }
        Ok(value.clone())
    }

    pub(super) fn check_default(&self, file: &str, name: &str) -> Result<()> {
        match &self.default {
            Some(default) if !self.accepts(default) => Err(Error::field(
                file,
                format!("parameters.{name}.default"),
                format!("`{default}`"),
                self.expected(),
            )),
            _ => Ok(()),
        }
    }

    fn accepts(&self, value: &Value) -> bool {
        match self.kind {
            ParameterKind::Priority => value == "latency" || value == "headroom",
            ParameterKind::Homes => {
                serde_json::from_value::<Vec<HomeRegion>>(value.clone()).is_ok()
            }
            kind => {
                let (least, most) = self.range();
                let whole = !kind.is_whole() || value.is_u64();
                let number = value.as_f64();
                whole && number.is_some_and(|number| (least..=most).contains(&number))
            }
        }
    }
}

/// Parses a number with an optional unit.
fn parse_number(text: &str, kind: ParameterKind) -> Option<Value> {
    let number = text.strip_suffix(kind.unit()).unwrap_or(text);
    if kind.is_whole() {
        return number.parse::<u32>().ok().map(Value::from);
    }
    let number = number
        .parse::<f64>()
        .ok()
        .filter(|number| number.is_finite());
    number.map(Value::from)
}

fn parse_homes(text: &str) -> Option<Value> {
    let homes = text.split(',').map(|part| {
        let (region, share) = part.split_once('=')?;
        Some(json!({"region": region.trim(), "share": share.trim().parse::<f64>().ok()?}))
    });
    homes.collect()
}
