//! Times during which requests of a service did not go as planned.

use super::{
    Decision,
    Rule, //
};
use crate::events::{
    EventCode,
    EventDraft,
    EventFields, //
};
use crate::time::WallTime;
use std::time::Duration;

/// How long no request must have been hit for an episode to be over.
const QUIET: Duration = Duration::from_secs(10);

/// What happens to requests.
#[derive(Clone, Copy, Debug)]
struct Kind {
    /// The event of its beginning.
    begins: EventCode,
    /// The event of its end.
    ends: EventCode,
    /// Tells whether a decision by a rule belongs to it.
    covers: fn(Rule) -> bool,
}

const KINDS: [Kind; 2] = [
    Kind {
        begins: EventCode::SpillStarted,
        ends: EventCode::SpillStopped,
        covers: |rule| matches!(rule, Rule::Spilled),
    },
    Kind {
        begins: EventCode::SheddingStarted,
        ends: EventCode::SheddingStopped,
        covers: |rule| {
            matches!(
                rule,
                Rule::RegionLimit | Rule::LinkLimit | Rule::SpillLimit | Rule::Deadline
            )
        },
    },
];

/// An episode of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Episode {
    requests: u64,
    last_us: WallTime,
}

/// The episodes of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Episodes([Episode; KINDS.len()]);

impl Episodes {
    /// Counts a decision; returns what begins with it.
    pub(super) fn note(&mut self, decision: &Decision) -> Vec<EventDraft> {
        let mut begun = Vec::new();
        for (kind, episode) in KINDS.iter().zip(&mut self.0) {
            if !(kind.covers)(decision.rule) {
                continue;
            }
            if episode.requests == 0 {
                begun.push(beginning(kind, decision));
            }
            episode.requests += 1;
            episode.last_us = decision.at_us;
        }
        begun
    }

    /// Returns what has ended by now.
    pub(super) fn end(&mut self, now: WallTime) -> Vec<EventDraft> {
        let mut ended = Vec::new();
        for (kind, episode) in KINDS.iter().zip(&mut self.0) {
            if episode.requests > 0 && now.since(episode.last_us) >= QUIET {
                let detail = format!("requests={}", episode.requests);
                ended.push(EventDraft {
                    code: kind.ends,
                    fields: EventFields::detail(detail),
                });
                *episode = Episode::default();
            }
        }
        ended
    }
}

fn beginning(kind: &Kind, decision: &Decision) -> EventDraft {
    EventDraft {
        code: kind.begins,
        fields: EventFields {
            region: decision.region.clone(),
            detail: decision.rule.text().to_owned(),
            ..EventFields::default()
        },
    }
}
