//! Episodes of spilling or shedding at a service.

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

/// The time without an affected request that ends an episode.
const QUIET_PERIOD: Duration = Duration::from_secs(10);

/// A kind of episode and the events that delimit it.
#[derive(Clone, Copy, Debug)]
struct EpisodeKind {
    start_event: EventCode,
    end_event: EventCode,
    /// Returns whether a decision by a rule belongs to the episode.
    covers: fn(Rule) -> bool,
}

const EPISODE_KINDS: [EpisodeKind; 2] = [
    EpisodeKind {
        start_event: EventCode::SpillStarted,
        end_event: EventCode::SpillStopped,
        covers: |rule| matches!(rule, Rule::Spilled),
    },
    EpisodeKind {
        start_event: EventCode::SheddingStarted,
        end_event: EventCode::SheddingStopped,
        covers: |rule| {
            matches!(
                rule,
                Rule::RegionLimit | Rule::LinkLimit | Rule::SpillLimit | Rule::Deadline
            )
        },
    },
];

/// The current episode of one kind; inactive at 0 requests.
#[derive(Clone, Copy, Debug, Default)]
struct Episode {
    requests: u64,
    last_at: WallTime,
}

/// The episodes of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Episodes([Episode; EPISODE_KINDS.len()]);

impl Episodes {
    /// Counts a decision; returns events for the episodes it starts.
    pub(super) fn record(&mut self, decision: &Decision) -> Vec<EventDraft> {
        let mut started = Vec::new();
        for (kind, episode) in EPISODE_KINDS.iter().zip(&mut self.0) {
            if !(kind.covers)(decision.rule) {
                continue;
            }
            if episode.requests == 0 {
                started.push(start_event(kind, decision));
            }
            episode.requests += 1;
            episode.last_at = decision.at_us;
        }
        started
    }

    /// Returns events for the episodes that have ended.
    pub(super) fn take_ended(&mut self, now: WallTime) -> Vec<EventDraft> {
        let mut ended = Vec::new();
        for (kind, episode) in EPISODE_KINDS.iter().zip(&mut self.0) {
            if episode.requests > 0 && now.since(episode.last_at) >= QUIET_PERIOD {
                let detail = format!("requests={}", episode.requests);
                ended.push(EventDraft {
                    code: kind.end_event,
                    fields: EventFields::detail(detail),
                });
                *episode = Episode::default();
            }
        }
        ended
    }
}

fn start_event(kind: &EpisodeKind, decision: &Decision) -> EventDraft {
    EventDraft {
        code: kind.start_event,
        fields: EventFields {
            region: decision.region.clone(),
            detail: decision.rule.text().to_owned(),
            ..EventFields::default()
        },
    }
}
