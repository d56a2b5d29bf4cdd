//! Counts the outcomes of requests and attempts by service, route and time window.

use super::groups::Groups;
use super::object_history::{
    ObjectHistory,
    Placement, //
};
use super::organisations::Organisations;
use super::slot_causes::SlotCauses;
use super::store_calls::StoreCalls;
use crate::commands::log_lines::LogLine;
use std::collections::BTreeMap;

/// The status of a request that did not run.
const NOT_RUN_STATUS: f64 = 503.0;

/// The longest duration of an immediate refusal in milliseconds: a new connection and a
/// round trip between the most distant regions. Slower refusals waited at the upstream.
const IMMEDIATE_REFUSAL_MAX_MS: f64 = 250.0;

/// Counts of one service and route in one window.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub(super) struct Counts {
    /// Answered within the latency objective.
    pub(super) in_time: u64,
    /// Answered after the latency objective.
    pub(super) late: u64,
    /// Refused without having run.
    pub(super) refused: u64,
    /// Failed or with unknown outcome.
    pub(super) failed: u64,
    /// Refusals and failures by reason.
    pub(super) reasons: BTreeMap<String, u64>,
    /// Attempts that timed out.
    pub(super) attempts_cut: u64,
    /// Attempts refused by an upstream after a wait.
    pub(super) attempts_refused_late: u64,
    /// Attempts refused by an upstream immediately.
    pub(super) attempts_refused: u64,
    /// Attempts whose response was lost or invalid.
    pub(super) attempts_lost: u64,
    /// Seconds spent at upstreams by failed attempts, including waits.
    pub(super) vain_s: f64,
    /// Seconds spent waiting for slots.
    pub(super) slot_wait_s: f64,
    /// Requests for objects that no upstream had served before.
    pub(super) objects_first: u64,
    /// Requests for objects that only other upstreams had served before.
    pub(super) objects_moved: u64,
    /// Requests by region of the last upstream.
    pub(super) regions: BTreeMap<String, u64>,
    /// The maximum age of the store's data used to route a request, in milliseconds.
    pub(super) knowledge_age_max_ms: f64,
}

/// The key by which events are grouped.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct GroupKey {
    pub(super) service: String,
    pub(super) route: String,
    pub(super) window: u64,
}

/// The counts of all log lines.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) counts: BTreeMap<GroupKey, Counts>,
    /// The window length in seconds.
    pub(super) window_s: f64,
    /// Unix time in seconds at the start of the first window.
    pub(super) start_s: f64,
    /// Requests cancelled by their callers.
    pub(super) cancelled: u64,
    /// Lines omitted by instances: of requests answered in time, and of others.
    pub(super) lines_omitted: (u64, u64),
    /// Lines dropped because standard output was blocked.
    pub(super) lines_dropped: u64,
    pub(super) store_calls: StoreCalls,
    pub(super) organisations: Organisations,
    pub(super) groups: Groups,
    pub(super) slot_causes: SlotCauses,
    objects: ObjectHistory,
}

impl Tally {
    /// Counts events, which must be ordered by time.
    pub(super) fn from_events(events: &[LogLine], window_s: f64) -> Self {
        let mut tally = Self {
            window_s,
            start_s: events.first().map_or(0.0, LogLine::time_s),
            ..Self::default()
        };
        for event in events {
            tally.add_event(event);
        }
        tally
    }

    /// Returns the totals of each window.
    pub(super) fn by_window(&self) -> BTreeMap<u64, Counts> {
        self.sums(|key| key.window)
    }

    /// Returns the totals of each group, where `group_of` derives the group from the key.
    pub(super) fn sums<K: Ord>(&self, group_of: impl Fn(&GroupKey) -> K) -> BTreeMap<K, Counts> {
        let mut sums: BTreeMap<K, Counts> = BTreeMap::new();
        for (key, counts) in &self.counts {
            sums.entry(group_of(key)).or_default().add(counts);
        }
        sums
    }

    fn add_event(&mut self, line: &LogLine) {
        if matches!(line.event.as_str(), "request-answered" | "request-failed") {
            self.organisations.add(line);
            self.groups.add(line);
            self.slot_causes.add(line);
        }
        match line.event.as_str() {
            "request-answered" => self.answered(line),
            "request-failed" => self.failed(line),
            "attempt-failed" => self.attempt_failed(line),
            "request-cancelled" => self.cancelled += 1,
            "lines-left-out" => {
                self.lines_omitted.0 += number_field(line, "answered");
                self.lines_omitted.1 += number_field(line, "failed");
            }
            "store-calls" => {
                let window = self.window_of(line);
                self.store_calls.add(line, window);
            }
            "lines-dropped" => self.lines_dropped += number_field(line, "lines"),
            _ => {}
        }
    }

    fn answered(&mut self, line: &LogLine) {
        let object = line.text("object");
        let placement = if object == "-" {
            Placement::Known
        } else {
            let (service, upstream) = (line.text("service"), line.text("upstream"));
            self.objects.record_service(&service, &object, &upstream)
        };
        let counts = self.counts_of(line);
        if line.is_late() {
            counts.late += 1;
        } else {
            counts.in_time += 1;
        }
        match placement {
            Placement::Known => {}
            Placement::First => counts.objects_first += 1,
            Placement::Moved => counts.objects_moved += 1,
        }
        counts.add_decision(line);
    }

    fn failed(&mut self, line: &LogLine) {
        let counts = self.counts_of(line);
        if line.number("status") == Some(NOT_RUN_STATUS) && line.has_text("source", "instance") {
            counts.refused += 1;
        } else {
            counts.failed += 1;
        }
        *counts.reasons.entry(line.text("reason")).or_default() += 1;
        counts.add_decision(line);
    }

    fn attempt_failed(&mut self, line: &LogLine) {
        let counts = self.counts_of(line);
        let took_ms = line.number("took_ms").unwrap_or_default();
        match line.text("outcome").as_str() {
            "timed_out" => counts.attempts_cut += 1,
            "not_run" if took_ms > IMMEDIATE_REFUSAL_MAX_MS => counts.attempts_refused_late += 1,
            "not_run" => counts.attempts_refused += 1,
            "unknown" => counts.attempts_lost += 1,
            _ => return,
        }
        counts.vain_s += took_ms / 1_000.0;
    }

    fn window_of(&self, line: &LogLine) -> u64 {
        let window = (line.time_s() - self.start_s) / self.window_s;
        window.max(0.0) as u64
    }

    fn counts_of(&mut self, line: &LogLine) -> &mut Counts {
        let key = GroupKey {
            service: line.text("service"),
            route: line.text("route"),
            window: self.window_of(line),
        };
        self.counts.entry(key).or_default()
    }
}

impl Counts {
    fn add_decision(&mut self, line: &LogLine) {
        let age_ms = line.number("knowledge_age_ms").unwrap_or_default();
        self.knowledge_age_max_ms = self.knowledge_age_max_ms.max(age_ms);
        self.slot_wait_s += line.number("slot_wait_ms").unwrap_or_default() / 1_000.0;
        let region = line.text("region");
        if region != "-" {
            *self.regions.entry(region).or_default() += 1;
        }
    }

    /// Adds the counts of another group.
    pub(super) fn add(&mut self, other: &Self) {
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        for (reason, count) in &other.reasons {
            *self.reasons.entry(reason.clone()).or_default() += count;
        }
        for (region, count) in &other.regions {
            *self.regions.entry(region.clone()).or_default() += count;
        }
        self.attempts_cut += other.attempts_cut;
        self.attempts_refused_late += other.attempts_refused_late;
        self.attempts_refused += other.attempts_refused;
        self.attempts_lost += other.attempts_lost;
        self.vain_s += other.vain_s;
        self.slot_wait_s += other.slot_wait_s;
        self.objects_first += other.objects_first;
        self.objects_moved += other.objects_moved;
        self.knowledge_age_max_ms = self.knowledge_age_max_ms.max(other.knowledge_age_max_ms);
    }
}

fn number_field(line: &LogLine, field: &str) -> u64 {
    line.number(field).unwrap_or_default() as u64
}
