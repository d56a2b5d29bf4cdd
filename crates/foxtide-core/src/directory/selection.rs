//! Selects among the instances of a region.

use crate::ids::AvailabilityZoneId;
use crate::time::MonotonicTime;
use crate::units::Share;
use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::Duration;

/// The part of the widest link that an instance of the same group has at least: twice as many
/// callers on a link as its width allows for is within the capacity kept unused.
const GROUP_LINK_SHARE: f64 = 0.5;

/// The part of the named groups' capacity below which the next group is named too. Callers keep an
/// answer for some seconds, in which their demand may grow by two fifths.
const UNUSED_MIN: f64 = 0.3;

/// The part that must be unused without a group before it is no longer named.
const UNUSED_WITHOUT_GROUP_MIN: f64 = 0.5;

/// The minimum time between two changes of the number of named groups: the effect of one shows
/// once most callers have looked up instances again.
const CHANGE_PERIOD: Duration = Duration::from_secs(3);

/// The minimum number of named instances, if the region has as many.
const NAMED_MIN: usize = 3;

/// The minimum number of availability zones of the named instances, if the region has as many.
const ZONES_MIN: usize = 2;

/// The unused part of an instance's capacity below which it counts as full.
const UNUSED_COMPARED_MIN: f64 = 0.05;

/// The minimum probability with which an instance of a named group is in an answer.
const PROBABILITY_MIN: f64 = 0.1;

/// An instance that callers may be directed to.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Bandwidth of its link in megabits a second; 0 if unknown, which counts as the widest.
    pub link_mbps: u32,
    /// Its availability zone.
    pub availability_zone: &'a AvailabilityZoneId,
    /// The utilisation of its most used resource, if it is known.
    pub utilisation: Option<Share>,
    /// Whether it has left probes unanswered.
    pub is_doubted: bool,
}

/// The instances to name, as indices of the candidates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selection {
    /// Instances of the widest group.
    pub wide: Vec<usize>,
    /// Instances of the other groups.
    pub narrow: Vec<usize>,
    /// Candidates whose condition matters for later selections, doubted ones included. Empty if all
    /// candidates have equal links.
    pub watched: Vec<usize>,
}

impl Selection {
    /// Returns all instances to name.
    pub fn named(&self) -> impl Iterator<Item = usize> {
        self.wide.iter().chain(&self.narrow).copied()
    }

    fn count(&self) -> usize {
        self.wide.len() + self.narrow.len()
    }
}

/// Selects the instances of one region; remembers how many groups it names.
#[derive(Clone, Debug, Default)]
pub struct Selector {
    /// The named groups beyond the widest one.
    additional_groups: usize,
    changed_at: Option<MonotonicTime>,
}

impl Selector {
    /// Selects the instances that an answer names. `draw` returns uniform random numbers from 0
    /// to 1.
    ///
    /// Candidates are grouped by the width of their links. The widest group that answers is named,
    /// and the next ones while those named have little capacity unused. Within a group, an instance
    /// is in an answer with a probability in proportion to its unused capacity, so that callers
    /// move gradually.
    pub fn select(
        &mut self,
        candidates: &[Candidate<'_>],
        now: MonotonicTime,
        mut draw: impl FnMut() -> f64,
    ) -> Selection {
        let answering: Vec<usize> = (0..candidates.len())
            .filter(|&index| !candidates[index].is_doubted)
            .collect();
        let is_any_answering = !answering.is_empty();
        let usable = if is_any_answering {
            answering
        } else {
            (0..candidates.len()).collect()
        };
        let groups = Groups::new(candidates, usable);
        if !is_any_answering || groups.members.len() < 2 {
            return Selection {
                wide: groups.members.concat(),
                narrow: Vec::new(),
                watched: watched(candidates),
            };
        }
        self.update_groups(&groups, candidates, now);
        let mut selection = Selection {
            watched: watched(candidates),
            ..Selection::default()
        };
        for (number, group) in groups.members.iter().enumerate() {
            let is_named = number <= self.additional_groups;
            let named = if number == 0 {
                &mut selection.wide
            } else {
                &mut selection.narrow
            };
            if is_named {
                named.extend(thinned(group, candidates, &mut draw));
            }
        }
        groups.complete(&mut selection, candidates, &mut draw);
        selection
    }

    /// Changes the number of named groups by one at most.
    fn update_groups(&mut self, groups: &Groups, candidates: &[Candidate<'_>], now: MonotonicTime) {
        let last_group = groups.members.len() - 1;
        self.additional_groups = self.additional_groups.min(last_group);
        if self.changed_at.is_some_and(|at| now - at < CHANGE_PERIOD) {
            return;
        }
        let named = self.additional_groups + 1;
        let load = groups.load(candidates, named);
        let unused = 1.0 - load / groups.capacity(named);
        if unused < UNUSED_MIN && self.additional_groups < last_group {
            self.additional_groups += 1;
            self.changed_at = Some(now);
        } else if self.additional_groups > 0
            && 1.0 - load / groups.capacity(named - 1) >= UNUSED_WITHOUT_GROUP_MIN
        {
            self.additional_groups -= 1;
            self.changed_at = Some(now);
        }
    }
}

/// Candidates grouped by the width of their links, the widest group first.
struct Groups {
    members: Vec<Vec<usize>>,
    /// The width of each candidate's link, by index.
    widths: Vec<f64>,
}

impl Groups {
    fn new(candidates: &[Candidate<'_>], mut usable: Vec<usize>) -> Self {
        let widths = widths(candidates);
        usable.sort_by_key(|&index| Reverse(widths[index] as u64));
        let mut members: Vec<Vec<usize>> = Vec::new();
        let mut widest = f64::MAX;
        for index in usable {
            let is_same = widths[index] >= widest * GROUP_LINK_SHARE;
            match members.last_mut() {
                Some(group) if is_same => group.push(index),
                _ => {
                    widest = widths[index];
                    members.push(vec![index]);
                }
            }
        }
        Self { members, widths }
    }

    fn of_groups(&self, count: usize) -> impl Iterator<Item = usize> {
        self.members.iter().take(count).flatten().copied()
    }

    fn capacity(&self, count: usize) -> f64 {
        self.of_groups(count).map(|index| self.widths[index]).sum()
    }

    fn load(&self, candidates: &[Candidate<'_>], count: usize) -> f64 {
        let load = |index: usize| {
            let utilisation = candidates[index].utilisation.map_or(0.0, Share::get);
            utilisation * self.widths[index]
        };
        self.of_groups(count).map(load).sum()
    }

    /// Adds instances until the answer has enough of them and of their availability zones, the
    /// widest first.
    fn complete(
        &self,
        selection: &mut Selection,
        candidates: &[Candidate<'_>],
        draw: &mut impl FnMut() -> f64,
    ) {
        let zone = |index: usize| candidates[index].availability_zone;
        let mut zones: HashSet<_> = selection.named().map(zone).collect();
        let named: HashSet<usize> = selection.named().collect();
        for (number, group) in self.members.iter().enumerate() {
            let mut others: Vec<(f64, usize)> = group
                .iter()
                .filter(|index| !named.contains(index))
                .map(|&index| (draw(), index))
                .collect();
            others.sort_by(|one, other| one.0.total_cmp(&other.0));
            for (_, index) in others {
                let lacks_zone = zones.len() < ZONES_MIN && !zones.contains(zone(index));
                if selection.count() >= NAMED_MIN && !lacks_zone {
                    continue;
                }
                zones.insert(zone(index));
                if number == 0 {
                    selection.wide.push(index);
                } else {
                    selection.narrow.push(index);
                }
            }
        }
    }
}

/// Returns the width of each candidate's link; unknown ones count as the widest.
fn widths(candidates: &[Candidate<'_>]) -> Vec<f64> {
    let known = candidates.iter().map(|candidate| candidate.link_mbps);
    let widest = f64::from(known.max().unwrap_or(0).max(1));
    let width = |candidate: &Candidate<'_>| match candidate.link_mbps {
        0 => widest,
        link_mbps => f64::from(link_mbps),
    };
    candidates.iter().map(width).collect()
}

/// Returns the candidates that stand above the narrowest group, whether they answer or not.
fn watched(candidates: &[Candidate<'_>]) -> Vec<usize> {
    let mut groups = Groups::new(candidates, (0..candidates.len()).collect());
    groups.members.pop();
    groups.members.concat()
}

/// Returns the members of a group that an answer names.
fn thinned(
    group: &[usize],
    candidates: &[Candidate<'_>],
    draw: &mut impl FnMut() -> f64,
) -> Vec<usize> {
    let unused = |index: usize| 1.0 - candidates[index].utilisation.map_or(0.0, Share::get);
    let most = group.iter().map(|&index| unused(index)).fold(0.0, f64::max);
    // Where all are full, none is better than another.
    let most = most.max(UNUSED_COMPARED_MIN);
    let is_named = |index: &usize| {
        let probability = unused(*index).max(UNUSED_COMPARED_MIN) / most;
        draw() < probability.max(PROBABILITY_MIN)
    };
    group.iter().copied().filter(is_named).collect()
}
