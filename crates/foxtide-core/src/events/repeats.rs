//! Holds back events that repeat.
//!
//! Where an upstream fails, each request tells the same. Some hundred of these
//! a second would push everything else out of the ring and use up the budget
//! of the copies, so beyond the first few of a while they are only counted.

use super::{
    EventCode,
    EventFields,
    Level, //
};
use crate::time::WallTime;
use std::collections::HashMap;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// How long repetitions are counted together.
const WINDOW: Duration = Duration::from_secs(10);

/// How many events about the same are recorded in a window.
const RECORDED_MAX: u32 = 10;

/// How many different events are watched; further ones are not held back.
const KEYS_MAX: usize = 1_024;

/// What happened to one sort of event.
#[derive(Clone, Copy, Debug)]
struct RepeatCount {
    since_us: WallTime,
    recorded: u32,
    suppressed: u64,
}

/// Decides which events are recorded.
#[derive(Clone, Debug, Default)]
pub struct RepeatFilter {
    repeats: HashMap<u64, RepeatCount>,
}

impl RepeatFilter {
    /// Returns the event's fields if it is to be recorded, and nothing where it
    /// is only counted. The first one after a window tells how many were.
    ///
    /// Events of [`Level::Debug`] are never held back: their room is apart.
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

    /// Forgets what is over, once so many are watched.
    fn evict_ended(&mut self, wall: WallTime) {
        if self.repeats.len() >= KEYS_MAX {
            self.repeats.retain(|_, repeat| !has_ended(repeat, wall));
        }
    }
}

/// Tells whether a window has ended; one that lies in the future, after the
/// clock was set back, has.
fn has_ended(repeat: &RepeatCount, wall: WallTime) -> bool {
    wall < repeat.since_us || wall.since(repeat.since_us) >= WINDOW
}

/// Events are about the same where all but the request and the detail agree.
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
