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
struct Repeat {
    since_us: WallTime,
    recorded: u32,
    held_back: u64,
}

/// Decides which events are recorded.
#[derive(Clone, Debug, Default)]
pub struct RepeatFilter {
    repeats: HashMap<u64, Repeat>,
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
        self.make_room(wall);
        if self.repeats.len() >= KEYS_MAX {
            return Some(fields);
        }
        let fresh = Repeat {
            since_us: wall,
            recorded: 0,
            held_back: 0,
        };
        let repeat = self.repeats.entry(key(code, &fields)).or_insert(fresh);
        if is_over(repeat, wall) {
            if repeat.held_back > 0 {
                fields.detail = format!("held_back={} {}", repeat.held_back, fields.detail);
            }
            *repeat = fresh;
        }
        if repeat.recorded >= RECORDED_MAX {
            repeat.held_back += 1;
            return None;
        }
        repeat.recorded += 1;
        Some(fields)
    }

    /// Forgets what is over, once so many are watched.
    fn make_room(&mut self, wall: WallTime) {
        if self.repeats.len() >= KEYS_MAX {
            self.repeats.retain(|_, repeat| !is_over(repeat, wall));
        }
    }
}

/// Tells whether a window has ended; one that lies in the future, after the
/// clock was set back, has.
fn is_over(repeat: &Repeat, wall: WallTime) -> bool {
    wall < repeat.since_us || wall.since(repeat.since_us) >= WINDOW
}

/// Events are about the same where all but the request and the detail agree.
fn key(code: EventCode, fields: &EventFields) -> u64 {
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
