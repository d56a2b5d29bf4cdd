//! Reads the structured log lines of instances.

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

/// The file name that selects standard input.
const STANDARD_INPUT: &str = "-";

/// The instance name of lines without one.
const UNKNOWN_INSTANCE: &str = "-";

/// One event logged by an instance.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct LogLine {
    /// Unix time in seconds by the instance's clock.
    time_s: f64,
    pub(crate) event: String,
    #[serde(default)]
    instance: Option<String>,
    /// All other fields.
    #[serde(flatten)]
    fields: Map<String, Value>,
}

impl LogLine {
    /// Returns the name of the instance that wrote the line; `-` if it is missing.
    pub(crate) fn instance(&self) -> &str {
        self.instance.as_deref().unwrap_or(UNKNOWN_INSTANCE)
    }

    /// Returns the Unix time in seconds by the instance's clock.
    pub(crate) fn time_s(&self) -> f64 {
        self.time_s
    }

    /// Returns the seconds from `earlier` to this line by the instances' clocks.
    pub(crate) fn seconds_since(&self, earlier: &Self) -> f64 {
        self.time_s - earlier.time_s
    }

    /// Formats the time as RFC 3339 in UTC.
    pub(crate) fn time(&self) -> String {
        utc(WallTime::from_us((self.time_s.max(0.0) * 1e6) as u64))
    }

    /// Returns a field as text; `-` if it is missing or empty.
    pub(crate) fn text(&self, name: &str) -> String {
        match self.fields.get(name) {
            None | Some(Value::Null) => "-".to_owned(),
            Some(Value::String(text)) if text.is_empty() => "-".to_owned(),
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
        }
    }

    /// Returns a numeric field.
    pub(crate) fn number(&self, name: &str) -> Option<f64> {
        self.fields.get(name).and_then(Value::as_f64)
    }

    /// Returns a boolean field.
    pub(crate) fn boolean(&self, name: &str) -> Option<bool> {
        self.fields.get(name).and_then(Value::as_bool)
    }

    /// Returns whether a field is equal to `text`.
    pub(crate) fn has_text(&self, name: &str, text: &str) -> bool {
        self.fields.get(name).and_then(Value::as_str) == Some(text)
    }

    /// Returns whether an answered request exceeded its latency objective.
    pub(crate) fn is_late(&self) -> bool {
        let latency_ms = self.number("latency_ms").unwrap_or_default();
        latency_ms > self.number("objective_ms").unwrap_or(f64::MAX)
    }

    /// Returns the line as JSON.
    pub(crate) fn json(&self) -> Value {
        let mut fields = self.fields.clone();
        fields.insert("time_s".to_owned(), self.time_s.into());
        fields.insert("event".to_owned(), self.event.clone().into());
        fields.insert("instance".to_owned(), self.instance().into());
        Value::Object(fields)
    }
}

/// The events of log files and the lines that could not be parsed.
#[derive(Debug, Default)]
pub(crate) struct LogLines {
    /// The events, ordered by time.
    pub(crate) events: Vec<LogLine>,
    /// Lines that are not events; files may contain output of other programs.
    pub(crate) unreadable: Vec<UnreadableLine>,
}

/// A line that is not an event.
#[derive(Debug)]
pub(crate) struct UnreadableLine {
    pub(crate) file: String,
    /// The line number, starting at 1.
    pub(crate) number: usize,
    /// The parse error.
    pub(crate) cause: String,
}

/// Reads log files.
///
/// # Errors
///
/// Returns an error if a file cannot be read or contains no event.
pub(crate) fn read(files: &[String]) -> Result<LogLines, Failure> {
    let mut lines = LogLines::default();
    for file in files {
        let before = lines.events.len();
        let read = match file.as_str() {
            STANDARD_INPUT => read_lines(file, io::stdin().lock(), &mut lines),
            path => File::open(path)
                .and_then(|opened| read_lines(path, BufReader::new(opened), &mut lines)),
        };
        read.map_err(|error| {
            Failure::refused(format!("{file}: {error}"), "give a file that can be read")
        })?;
        if lines.events.len() == before {
            return Err(Failure::refused(
                format!("{file}: none of its lines is an event"),
                "valid: the standard output of instances, one JSON object per line with \
                 `time_s` and `event`",
            ));
        }
    }
    lines
        .events
        .sort_by(|one, other| one.time_s.total_cmp(&other.time_s));
    Ok(lines)
}

fn read_lines(file: &str, reader: impl BufRead, lines: &mut LogLines) -> io::Result<()> {
    for (index, line) in reader.lines().enumerate() {
        match parse(&line?) {
            Ok(event) => lines.events.push(event),
            Err(error) => lines.unreadable.push(UnreadableLine {
                file: file.to_owned(),
                number: index + 1,
                cause: error.to_string(),
            }),
        }
    }
    Ok(())
}

/// Parses a line, skipping any prefix that a log collector added before the first brace.
fn parse(line: &str) -> serde_json::Result<LogLine> {
    let whole = serde_json::from_str(line);
    match line.find('{') {
        Some(at) if at > 0 => whole.or_else(|error| {
            let event = serde_json::from_str(&line[at..]);
            event.map_err(|_: serde_json::Error| error)
        }),
        _ => whole,
    }
}
