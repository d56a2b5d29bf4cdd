//! Command results as text and as JSON.

use crate::ExitStatus;
use foxtide_core::time::WallTime;
use serde_json::Value;
use std::io::Write;
use std::time::{
    Duration,
    UNIX_EPOCH, //
};

/// The result of a command as text and as JSON.
#[derive(Debug)]
pub(crate) struct Report {
    text: String,
    json: Value,
}

impl Report {
    pub(crate) fn new(text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
        }
    }

    /// Prints the report as JSON or text and returns the exit status.
    pub(crate) fn print(
        &self,
        json: bool,
        output: &mut dyn Write,
        errors: &mut dyn Write,
    ) -> ExitStatus {
        let text = if json {
            format!("{:#}", self.json)
        } else {
            self.text.clone()
        };
        match writeln!(output, "{}", text.trim_end()) {
            Ok(()) => ExitStatus::Done,
            Err(error) => {
                let _ = writeln!(errors, "error: cannot write the result: {error}");
                ExitStatus::Refused
            }
        }
    }
}

/// A table with aligned columns.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Returns an empty table with a fixed number of columns.
    pub(crate) fn new<const N: usize>(heading: [&str; N]) -> Self {
        Self::with_columns(heading.into_iter().map(str::to_owned))
    }

    /// Returns an empty table with these headings.
    pub(crate) fn with_columns(headings: impl Iterator<Item = String>) -> Self {
        Self {
            rows: vec![headings.map(|heading| heading.to_uppercase()).collect()],
        }
    }

    /// Adds a row, which must have one cell per heading.
    pub(crate) fn cells(&mut self, cells: impl Iterator<Item = String>) {
        self.rows.push(cells.collect());
    }

    /// Adds a row with a fixed number of cells.
    pub(crate) fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.cells(cells.into_iter());
    }

    /// Returns the table of a list of JSON objects, with a column for each field
    /// that occurs in any of them.
    pub(crate) fn from_objects(list: &Value) -> Self {
        let objects: Vec<&Value> = list.as_array().into_iter().flatten().collect();
        let mut columns: Vec<&String> = Vec::new();
        for key in objects
            .iter()
            .filter_map(|one| one.as_object())
            .flat_map(|one| one.keys())
        {
            if !columns.contains(&key) {
                columns.push(key);
            }
        }
        let heading = columns
            .iter()
            .map(|key| key.replace('_', " ").to_uppercase());
        let mut rows = vec![heading.collect()];
        for object in &objects {
            let cells = columns.iter().map(|key| cell(object.get(key.as_str())));
            rows.push(cells.collect());
        }
        Self { rows }
    }

    /// Formats the table with aligned columns.
    pub(crate) fn text(&self) -> String {
        let columns = self.rows.first().map_or(0, Vec::len);
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        let lines = self.rows.iter().map(|row| line(row, &widths));
        lines.collect()
    }

    fn width(&self, column: usize) -> usize {
        let lengths = self.rows.iter().map(|row| row[column].chars().count());
        lengths.max().unwrap_or(0)
    }
}

/// Formats a JSON value as a cell; `-` if it is missing or null.
fn cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let padded: Vec<String> = cells
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    format!("{}\n", padded.join("  ").trim_end())
}

/// Formats a time as RFC 3339 in UTC.
pub(crate) fn utc(time: WallTime) -> String {
    let since_epoch = Duration::from_micros(time.as_us());
    match UNIX_EPOCH.checked_add(since_epoch) {
        Some(time) => humantime::format_rfc3339_micros(time).to_string(),
        None => time.to_string(),
    }
}
