//! Compares and merges documents by field paths.
//!
//! Lists with named entries are compared by name instead of position.

use serde::Serialize;
use serde_json::{
    Map,
    Value, //
};
use std::collections::BTreeSet;
use std::fmt;

/// Fields that identify an entry of a list, by precedence.
const NAME_FIELDS: &[&str] = &[
    "upstream",
    "move",
    "drain",
    "service",
    "change_id",
    "region",
];

/// Fields that every change sets.
const BOOKKEEPING_FIELDS: &[&str] = &["revision", "change_id", "history"];

/// A field that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Path such as `services[viewer].contract.deadline_ms`.
    pub path: String,
    /// The old value, if any.
    pub before: Option<Value>,
    /// The new value, if any.
    pub after: Option<Value>,
    #[serde(skip)]
    segments: Vec<PathSegment>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => {
                let (before, after) = (truncated(before), truncated(after));
                write!(f, "~ {}: {before} -> {after}", self.path)
            }
            (None, Some(after)) => write!(f, "+ {}: {}", self.path, truncated(after)),
            (Some(before), None) => write!(f, "- {}: {}", self.path, truncated(before)),
            (None, None) => write!(f, "  {}", self.path),
        }
    }
}

/// Maximum characters of a value in a difference's text.
const DISPLAYED_VALUE_MAX_CHARS: usize = 120;

/// Returns a value's text, truncated if long.
fn truncated(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(DISPLAYED_VALUE_MAX_CHARS) {
        Some((end, _)) => format!("{}… ({} bytes)", &text[..end], text.len()),
        None => text,
    }
}

/// A segment of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
enum PathSegment {
    /// A field of an object.
    Field(String),
    /// The entry of a list with this name.
    Entry(String),
}

/// Returns the fields that differ, without bookkeeping fields.
pub(crate) fn diff(before: &Value, after: &Value) -> Vec<Difference> {
    let mut found = Vec::new();
    let mut segments = Vec::new();
    compare(Some(before), Some(after), &mut segments, &mut found);
    found
}

fn compare(
    before: Option<&Value>,
    after: Option<&Value>,
    segments: &mut Vec<PathSegment>,
    found: &mut Vec<Difference>,
) {
    match (before, after) {
        (one, other) if one == other => {}
        (Some(Value::Object(one)), Some(Value::Object(other))) => {
            compare_objects(one, other, segments, found);
        }
        (Some(Value::Array(one)), Some(Value::Array(other)))
            if has_unique_names(one) && has_unique_names(other) =>
        {
            compare_lists(one, other, segments, found);
        }
        _ => found.push(Difference {
            path: path_text(segments),
            before: before.cloned(),
            after: after.cloned(),
            segments: segments.clone(),
        }),
    }
}

fn compare_objects(
    before: &Map<String, Value>,
    after: &Map<String, Value>,
    segments: &mut Vec<PathSegment>,
    found: &mut Vec<Difference>,
) {
    let keys: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    for key in keys {
        if segments.is_empty() && BOOKKEEPING_FIELDS.contains(&key.as_str()) {
            continue;
        }
        segments.push(PathSegment::Field(key.clone()));
        compare(before.get(key), after.get(key), segments, found);
        segments.pop();
    }
}

fn compare_lists(
    before: &[Value],
    after: &[Value],
    segments: &mut Vec<PathSegment>,
    found: &mut Vec<Difference>,
) {
    let names = before.iter().chain(after).filter_map(name_of);
    let names: BTreeSet<String> = names.collect();
    for name in names {
        let one = find(before, &name);
        let other = find(after, &name);
        segments.push(PathSegment::Entry(name));
        compare(one, other, segments, found);
        segments.pop();
    }
}

/// Returns the name of a list's entry; that of a link consists of both its ends.
fn name_of(entry: &Value) -> Option<String> {
    let text = |field: &str| entry.get(field).and_then(Value::as_str);
    let plain = NAME_FIELDS.iter().find_map(|field| text(field));
    match (plain, text("from"), text("to")) {
        (Some(name), _, _) => Some(name.to_owned()),
        (None, Some(from), Some(to)) => Some(format!("{from}->{to}")),
        _ => None,
    }
}

fn has_unique_names(list: &[Value]) -> bool {
    let names: BTreeSet<String> = list.iter().filter_map(name_of).collect();
    names.len() == list.len()
}

fn find<'a>(list: &'a [Value], name: &str) -> Option<&'a Value> {
    list.iter()
        .find(|entry| name_of(entry).as_deref() == Some(name))
}

fn path_text(segments: &[PathSegment]) -> String {
    let mut text = String::new();
    for segment in segments {
        match segment {
            PathSegment::Field(name) if text.is_empty() => text.push_str(name),
            PathSegment::Field(name) => text.push_str(&format!(".{name}")),
            PathSegment::Entry(name) => text.push_str(&format!("[{name}]")),
        }
    }
    text
}

/// Returns the paths of `ours` that equal, contain or are part of a path of `theirs`.
pub(crate) fn conflicting_paths(ours: &[Difference], theirs: &[Difference]) -> Vec<String> {
    let mut paths = Vec::new();
    for our in ours {
        let overlaps_with = |their: &Difference| overlaps(&our.segments, &their.segments);
        let agreed = theirs.contains(our);
        if !agreed && theirs.iter().any(overlaps_with) {
            paths.push(our.path.clone());
        }
    }
    paths
}

fn overlaps(one: &[PathSegment], other: &[PathSegment]) -> bool {
    let common = one.len().min(other.len());
    one[..common] == other[..common]
}

/// Applies `ours` to the accepted document, unless both changed the same field.
pub(crate) fn rebase(
    ours: &[Difference],
    theirs: &[Difference],
    accepted: &Value,
) -> Option<Value> {
    if !conflicting_paths(ours, theirs).is_empty() {
        return None;
    }
    let mut merged = accepted.clone();
    for difference in ours {
        apply(&mut merged, &difference.segments, difference.after.as_ref())?;
    }
    Some(merged)
}

/// Sets or removes the value at a path.
fn apply(target: &mut Value, segments: &[PathSegment], after: Option<&Value>) -> Option<()> {
    let (segment, rest) = segments.split_first()?;
    match segment {
        PathSegment::Field(name) => apply_field(target.as_object_mut()?, name, rest, after),
        PathSegment::Entry(name) => apply_entry(target.as_array_mut()?, name, rest, after),
    }
}

fn apply_field(
    object: &mut Map<String, Value>,
    name: &str,
    rest: &[PathSegment],
    after: Option<&Value>,
) -> Option<()> {
    if !rest.is_empty() {
        return apply(object.get_mut(name)?, rest, after);
    }
    match after {
        Some(value) => object.insert(name.to_owned(), value.clone()),
        None => object.remove(name),
    };
    Some(())
}

fn apply_entry(
    list: &mut Vec<Value>,
    name: &str,
    rest: &[PathSegment],
    after: Option<&Value>,
) -> Option<()> {
    let position = list
        .iter()
        .position(|entry| name_of(entry).as_deref() == Some(name));
    if !rest.is_empty() {
        return apply(list.get_mut(position?)?, rest, after);
    }
    match (position, after) {
        (Some(position), Some(value)) => list[position] = value.clone(),
        (Some(position), None) => drop(list.remove(position)),
        (None, Some(value)) => list.push(value.clone()),
        (None, None) => {}
    }
    Some(())
}
