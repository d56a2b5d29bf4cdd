//! Suppresses repeated events.
//!
//! A failing upstream causes the same event for every request. Beyond a limit per
//! time window, repetitions are only counted, so that they neither evict other
//! events from the ring nor use up the bandwidth for backups.

use super::{
    EventCode,
    EventFields,
    Level, //
};
use crate::time::WallTime;
use std::collections::HashMap;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// The window in which repetitions are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// The maximum number of recorded repetitions in a window.
const RECORDED_MAX: u32 = 10;

/// The maximum number of tracked events; others are not suppressed.
const KEYS_MAX: usize = 1_024;

/// The repetitions of one event in the current window.
#[derive(Clone, Copy, Debug)]
struct RepeatCount {
    since_us: WallTime,
    recorded: u32,
    suppressed: u64,
}

/// Decides which events to record.
#[derive(Clone, Debug, Default)]
pub struct RepeatFilter {
    repeats: HashMap<u64, RepeatCount>,
}

impl RepeatFilter {
    /// Returns the fields of an event to record, or `None` if it is suppressed. The
    /// first event after a window contains the number of suppressed ones.
    ///
    /// [`Level::Debug`] events are never suppressed, as they have separate capacity.
    pub fn admit(
        &mut self,
        code: EventCode,
        mut fields: EventFields,
        wall: WallTime,
    ) -> Option<EventFields> {
        if code.level() == Level::Debug {
            return Some(fields);
        }
        self.evict_ended(wall);
        if self.repeats.len() >= KEYS_MAX {
            return Some(fields);
        }
        let new_window = RepeatCount {
            since_us: wall,
            recorded: 0,
            suppressed: 0,
        };
        let repeat = self
            .repeats
            .entry(repeat_key(code, &fields))
            .or_insert(new_window);
        if has_ended(repeat, wall) {
            if repeat.suppressed > 0 {
                fields.detail = format!("held_back={} {}", repeat.suppressed, fields.detail);
            }
            *repeat = new_window;
        }
        if repeat.recorded >= RECORDED_MAX {
            repeat.suppressed += 1;
            return None;
        }
        repeat.recorded += 1;
        Some(fields)
    }

    /// Removes ended windows when the limit of tracked events is reached.
    fn evict_ended(&mut self, wall: WallTime) {
        if self.repeats.len() >= KEYS_MAX {
            self.repeats.retain(|_, repeat| !has_ended(repeat, wall));
        }
    }
}

/// Returns whether a window has ended, or is in the future after the clock was set back.
fn has_ended(repeat: &RepeatCount, wall: WallTime) -> bool {
    wall < repeat.since_us || wall.since(repeat.since_us) >= WINDOW
}

/// Hashes all fields but the request and the detail.
fn repeat_key(code: EventCode, fields: &EventFields) -> u64 {
    let names = [
        fields.organisation.as_ref().map(|name| name.as_str()),
        fields.service.as_ref().map(|name| name.as_str()),
        fields.region.as_ref().map(|name| name.as_str()),
        fields.upstream.as_ref().map(|name| name.as_str()),
        fields.peer.as_ref().map(|name| name.as_str()),
    ];
    let mut hasher = Xxh3::new();
    hasher.update(&code.number().to_le_bytes());
    for name in names {
        hasher.update(name.unwrap_or_default().as_bytes());
        hasher.update(b"/");
    }
    hasher.digest()
}
