//! The structured lines that instances write.

use crate::failure::Failure;
use crate::report::utc;
use foxtide_core::time::WallTime;
use serde::Deserialize;
use serde_json::{
    Map,
    Value, //
};
use std::fs::File;
use std::io::{
    self,
    BufRead,
    BufReader, //
};

/// What stands for standard input in place of a file.
const STANDARD_INPUT: &str = "-";

/// What stands for the instance in lines that do not name it.
const UNNAMED: &str = "-";

/// One event as an instance wrote it.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct LogLine {
    /// Seconds since 1970 by the instance's clock.
    time_s: f64,
    /// The event's name.
    pub(super) event: String,
    /// The instance's name.
    #[serde(default)]
    instance: Option<String>,
    /// What else the line holds.
    #[serde(flatten)]
    fields: Map<String, Value>,
}

impl LogLine {
    /// Returns the instance that wrote the line.
    pub(super) fn instance(&self) -> &str {
        self.instance.as_deref().unwrap_or(UNNAMED)
    }

    /// Returns the seconds from `earlier` to this line, by the instances' clocks.
    pub(super) fn seconds_after(&self, earlier: &Self) -> f64 {
        self.time_s - earlier.time_s
    }

    /// Returns the time as people read it.
    pub(super) fn time(&self) -> String {
        utc(WallTime::from_us((self.time_s.max(0.0) * 1e6) as u64))
    }

    /// Returns a field as text; `-` where it is missing or empty.
    pub(super) fn field(&self, name: &str) -> String {
        match self.fields.get(name) {
            None | Some(Value::Null) => "-".to_owned(),
            Some(Value::String(text)) if text.is_empty() => "-".to_owned(),
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
        }
    }

    /// Returns a field that holds a number.
    pub(super) fn number(&self, name: &str) -> Option<f64> {
        self.fields.get(name).and_then(Value::as_f64)
    }

    /// Returns a field that holds a yes or no.
    pub(super) fn is(&self, name: &str) -> Option<bool> {
        self.fields.get(name).and_then(Value::as_bool)
    }

    /// Tells whether a field holds a text.
    pub(super) fn holds(&self, name: &str, text: &str) -> bool {
        self.fields.get(name).and_then(Value::as_str) == Some(text)
    }

    /// Returns the line as JSON.
    pub(super) fn json(&self) -> Value {
        let mut fields = self.fields.clone();
        fields.insert("time_s".to_owned(), self.time_s.into());
        fields.insert("event".to_owned(), self.event.clone().into());
        fields.insert("instance".to_owned(), self.instance().into());
        Value::Object(fields)
    }
}

/// Reads files of lines, in the order of their times. Lines that are no events
/// are passed over: files may hold what other programs wrote.
///
/// # Errors
///
/// Fails where a file cannot be read or holds no event at all.
pub(super) fn read(files: &[String]) -> Result<Vec<LogLine>, Failure> {
    let mut lines = Vec::new();
    for file in files {
        let before = lines.len();
        let read = match file.as_str() {
            STANDARD_INPUT => collect(io::stdin().lock(), &mut lines),
            path => File::open(path).and_then(|file| collect(BufReader::new(file), &mut lines)),
        };
        read.map_err(|error| {
            Failure::refused(format!("{file}: {error}"), "give a file that can be read")
        })?;
        if lines.len() == before {
            return Err(Failure::refused(
                format!("{file}: none of its lines is an event"),
                "valid: what instances wrote to standard output, one JSON object a line with \
                 `time_s` and `event`",
            ));
        }
    }
    lines.sort_by(|one: &LogLine, other| one.time_s.total_cmp(&other.time_s));
    Ok(lines)
}

fn collect(reader: impl BufRead, lines: &mut Vec<LogLine>) -> io::Result<()> {
    for line in reader.lines() {
        if let Ok(line) = serde_json::from_str(&line?) {
            lines.push(line);
        }
    }
    Ok(())
}
