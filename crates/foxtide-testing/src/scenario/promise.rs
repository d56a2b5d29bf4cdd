//! Promises: the invariants of a run, checked against its record.

use super::callers::WARM_UP;
use super::fleet::Fleet;
use super::operation::{
    Operation,
    RequestKind, //
};
use super::record::Series;
use super::shift_cap;
use super::spill_limit;
use foxtide_core::time::MonotonicTime;
use foxtide_core::units::RequestRate;
use std::fmt;
use std::str::FromStr;

/// A limit counts as tested if the busiest second reached this share of it.
const TESTED_FROM_SHARE: f64 = 0.8;

/// An invariant that must hold in every run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Promise {
    /// The share of a region in a service changes no faster than the contract allows.
    ShiftCap,
    /// No region receives more than its sold rate.
    RegionLimit,
    /// No link carries more than its sold rate.
    LinkLimit,
    /// No more of a service spills over than the contract allows.
    SpillLimit,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A request that was reported as not run did not run.
    NotRunIsTrue,
    /// Every caller receives the response to its own request.
    OwnAnswer,
    /// A draining upstream receives no new request after 2 s.
    LeavingGetsNothing,
    /// A graceful shutdown aborts no request.
    NothingCut,
    /// All reachable instances apply an accepted configuration within seconds.
    InForce,
    /// No instance replaces a configuration by an older one.
    NeverReverts,
    /// A request that cannot be served is rejected without delay.
    RefusedAtOnce,
}

impl Promise {
    /// All promises.
    pub const ALL: [Self; 12] = [
        Self::ShiftCap,
        Self::RegionLimit,
        Self::LinkLimit,
        Self::SpillLimit,
        Self::AtMostOnce,
        Self::NotRunIsTrue,
        Self::OwnAnswer,
        Self::LeavingGetsNothing,
        Self::NothingCut,
        Self::InForce,
        Self::NeverReverts,
        Self::RefusedAtOnce,
    ];
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ShiftCap => "shift-cap",
            Self::RegionLimit => "region-limit",
            Self::LinkLimit => "link-limit",
            Self::SpillLimit => "spill-limit",
            Self::AtMostOnce => "at-most-once",
            Self::NotRunIsTrue => "not-run-is-true",
            Self::OwnAnswer => "own-answer",
            Self::LeavingGetsNothing => "leaving-gets-nothing",
            Self::NothingCut => "nothing-cut",
            Self::InForce => "in-force",
            Self::NeverReverts => "never-reverts",
            Self::RefusedAtOnce => "refused-at-once",
        })
    }
}

impl FromStr for Promise {
    type Err = foxtide_core::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.into_iter();
        let found = all.find(|promise| promise.to_string() == text);
        found.ok_or_else(|| foxtide_core::Error::parse(text, "the name of a promise"))
    }
}

/// Result of the check of a promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It was tested and not broken.
    Kept,
    /// The run did not test it.
    Untested,
    /// It was broken.
    Broken {
        /// The first violation and the number of others.
        violation: String,
    },
}

impl Verdict {
    pub(super) fn from_violations(violations: &[String], tested: bool) -> Self {
        match violations.first() {
            Some(first) if violations.len() > 1 => Self::Broken {
                violation: format!("{first} (and {} more)", violations.len() - 1),
            },
            Some(first) => Self::Broken {
                violation: first.clone(),
            },
            None if tested => Self::Kept,
            None => Self::Untested,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kept => f.write_str("kept"),
            Self::Untested => f.write_str("untested"),
            Self::Broken { violation } => write!(f, "BROKEN: {violation}"),
        }
    }
}

impl Fleet {
    /// Returns the verdict on a promise for the run so far.
    pub(super) fn verdict(&self, promise: Promise) -> Verdict {
        let violations = &self.record.violations;
        let reconfigured = self.record.accepted.len() > 1;
        let drained = !self.record.drains.is_empty() || self.record.planned_stops > 0;
        let warmed_up = self.now > MonotonicTime::ZERO + WARM_UP;
        match promise {
            Promise::ShiftCap => shift_cap::verdict(self),
            Promise::RegionLimit => self.region_limits(),
            Promise::LinkLimit => self.link_limits(),
            Promise::SpillLimit => spill_limit::verdict(self),
            Promise::AtMostOnce => self.at_most_once(),
            Promise::NotRunIsTrue => self.not_run_is_true(),
            Promise::OwnAnswer => Verdict::from_violations(&violations.wrong_answers, warmed_up),
            Promise::LeavingGetsNothing => {
                Verdict::from_violations(&violations.sent_to_draining, drained)
            }
            Promise::NothingCut => {
                Verdict::from_violations(&violations.aborted_by_stop, self.record.planned_stops > 0)
            }
            Promise::InForce => Verdict::from_violations(&violations.late_revisions, reconfigured),
            Promise::NeverReverts => {
                Verdict::from_violations(&violations.reverted_revisions, reconfigured)
            }
            Promise::RefusedAtOnce => Verdict::from_violations(
                &violations.late_rejections,
                !self.record.rejections.is_empty(),
            ),
        }
    }

    fn region_limits(&self) -> Verdict {
        let regions = self.organisation.regions.iter();
        let limits = regions.map(|region| Limit {
            name: region.region.to_string(),
            sold: region.sold_rate_rps,
            series: self.record.regions.get(&region.region),
        });
        check_limits(limits)
    }

    fn link_limits(&self) -> Verdict {
        let links = self.organisation.links.iter();
        let limits = links.map(|link| Limit {
            name: link.id().to_string(),
            sold: link.sold_rate_rps,
            series: self.record.links.get(&link.id()),
        });
        check_limits(limits)
    }

    fn at_most_once(&self) -> Verdict {
        let writes = self.operations.iter();
        let writes = writes.filter(|(_, operation)| operation.kind == RequestKind::Write);
        let repeated = writes.clone().filter(|(_, operation)| operation.runs > 1);
        let violation = |(number, operation): (&u64, &Operation)| {
            format!("request {number} ran {} times", operation.runs)
        };
        let violations: Vec<String> = repeated.map(violation).collect();
        Verdict::from_violations(&violations, writes.count() > 0)
    }

    fn not_run_is_true(&self) -> Verdict {
        let reported = self.operations.iter();
        let reported = reported.filter(|(_, operation)| operation.reported_not_run);
        // Each copy of a read is a separate request, so another copy may have run.
        let is_single =
            |operation: &Operation| operation.kind == RequestKind::Write || operation.sent == 1;
        let violating = reported.clone().filter(|(_, o)| o.runs > 0 && is_single(o));
        let violations: Vec<String> = violating
            .map(|(number, _)| format!("request {number} was reported as not run and ran"))
            .collect();
        Verdict::from_violations(&violations, reported.count() > 0)
    }
}

/// A sold rate and the requests that it limits.
struct Limit<'a> {
    name: String,
    sold: RequestRate,
    series: Option<&'a Series>,
}

fn check_limits<'a>(limits: impl Iterator<Item = Limit<'a>>) -> Verdict {
    let mut violations = Vec::new();
    let mut tested = false;
    for limit in limits {
        let busiest = limit.series.and_then(Series::busiest_second);
        let Some((count, at)) = busiest else {
            continue;
        };
        let sold_rps = limit.sold.get();
        tested |= f64::from(count) >= sold_rps * TESTED_FROM_SHARE;
        if f64::from(count) > sold_rps {
            let name = &limit.name;
            violations.push(format!(
                "{name} got {count} requests in the second from {at}, limit {sold_rps}"
            ));
        }
    }
    Verdict::from_violations(&violations, tested)
}
