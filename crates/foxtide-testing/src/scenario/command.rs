//! Commands of the script language and their arguments.

use super::operation::{
    CallerOutcome,
    RequestKind, //
};
use super::operators::DrainKind;
use super::promise::Promise;
use super::tenants::Tenant;
use crate::duration::DurationArg;
use foxtide_core::ids::{
    InstanceId,
    RegionId,
    ServiceId,
    UpstreamId, //
};
use foxtide_core::organisation::Priority;
use foxtide_core::units::{
    RequestRate,
    Share,
    ShareRate, //
};
use std::str::FromStr;

/// One command of a script.
///
/// Commands of operators have the name of the operator as a prefix: `alice: read`.
#[derive(Clone, Debug, goldenscript::Command)]
pub(super) enum Command {
    /// `tenant hamutenya|kluisdepot [SERVICE...]`: adds the regions, links and services of
    /// an existing organisation, with all services or only those named.
    Tenant {
        name: Tenant,
        #[arg(many, optional)]
        services: Vec<ServiceId>,
    },
    /// `region NAME sold=RATE [zones=N]`: adds a region with this sold rate.
    Region {
        name: RegionId,
        #[arg(key)]
        sold: RequestRate,
        #[arg(key)]
        zones: Option<u32>,
    },
    /// `links sold=RATE delay=SPAN`: links all pairs of regions, with this one-way delay.
    Links {
        #[arg(key)]
        sold: RequestRate,
        #[arg(key)]
        delay: DurationArg,
    },
    /// `service NAME [spill=] [cap=] [deadline=] [drain_window=] [priority=]`:
    /// adds a service and its contract, with equal shares for all regions.
    Service {
        name: ServiceId,
        #[arg(key)]
        spill: Option<Share>,
        #[arg(key)]
        cap: Option<ShareRate>,
        #[arg(key)]
        deadline: Option<DurationArg>,
        #[arg(key)]
        drain_window: Option<DurationArg>,
        #[arg(key)]
        priority: Option<PriorityArg>,
    },
    /// `upstreams SERVICE per_region=N slots=N service_time=SPAN`: adds upstreams to all
    /// regions.
    Upstreams {
        service: ServiceId,
        #[arg(key)]
        per_region: u32,
        #[arg(key)]
        slots: u32,
        #[arg(key)]
        service_time: DurationArg,
    },
    /// `instances per_region=N`: sets the number of instances.
    Instances {
        #[arg(key)]
        per_region: u32,
    },
    /// `load SERVICE REGION... rate=RATE [kind=read|write]`: sets the rate of requests from
    /// callers in each of the regions.
    Load {
        service: ServiceId,
        #[arg(many)]
        regions: Vec<RegionId>,
        #[arg(key)]
        rate: RequestRate,
        #[arg(key)]
        kind: Option<RequestKind>,
    },
    /// `run SPAN`: advances virtual time.
    Run(DurationArg),

    /// `region_down REGION`: kills all instances and upstreams in a region.
    RegionDown(RegionId),
    /// `region_up REGION`: restarts them.
    RegionUp(RegionId),
    /// `cut REGION REGION`: drops all messages between two regions. The name `store` stands
    /// for the store.
    Cut(RegionId, RegionId),
    /// `heal REGION REGION`: ends a cut.
    Heal(RegionId, RegionId),
    /// `kill INSTANCE`: kills its process.
    Kill(InstanceId),
    /// `restart INSTANCE`: starts a new process if none runs.
    Restart(InstanceId),
    /// `pause INSTANCE SPAN`: suspends its process.
    Pause(InstanceId, DurationArg),
    /// `stop INSTANCE`: shuts it down gracefully.
    Stop(InstanceId),
    /// `measurements flowing|late|stopped [by=SPAN]`: delivers, delays or drops the reports
    /// between instances.
    Measurements {
        state: MeasurementsState,
        #[arg(key)]
        by: Option<DurationArg>,
    },
    /// `store up|down|slow|losing_answers|down_after_write [by=SPAN] [next=N]`: sets the
    /// fault of the store. `next` is the number of writes whose responses are lost.
    Store {
        state: StoreState,
        #[arg(key)]
        by: Option<DurationArg>,
        #[arg(key)]
        next: Option<u32>,
    },
    /// `upstream NAME well|dead|silent|slow|shedding|losing_answers|late|lying
    /// |cold|draining [factor=X] [by=SPAN]`: sets the fault of an upstream, or of all with
    /// a prefix if the name ends in `*`.
    Upstream {
        name: String,
        state: UpstreamState,
        #[arg(key)]
        factor: Option<f64>,
        #[arg(key)]
        by: Option<DurationArg>,
    },

    /// `OPERATOR: read`: reads the document; the next change of the operator is based on it.
    Read,
    /// `OPERATOR: move SERVICE from=REGION to=REGION share=S pace=P`: adds a planned move.
    Move {
        service: ServiceId,
        #[arg(key)]
        from: RegionId,
        #[arg(key)]
        to: RegionId,
        #[arg(key)]
        share: Share,
        #[arg(key)]
        pace: ShareRate,
    },
    /// `OPERATOR: drain upstream|zone|region|instance NAME [service=SERVICE]`: adds a drain.
    Drain {
        kind: DrainKind,
        name: String,
        #[arg(key)]
        service: Option<ServiceId>,
    },
    /// `OPERATOR: spill SERVICE limit=S`: sets the spill-over limit of a service.
    Spill {
        service: ServiceId,
        #[arg(key)]
        limit: Share,
    },
    /// `OPERATOR: sold REGION rate=RATE`: sets the sold rate of a region.
    Sold {
        region: RegionId,
        #[arg(key)]
        rate: RequestRate,
    },

    /// `promises [PROMISE...]`: asserts that no promise was broken and that those named were
    /// tested.
    Promises(#[arg(many, optional)] Vec<Promise>),
    /// `told SERVICE done|not-run|unknown|nothing [least=P] [most=P] [last=SPAN]
    /// [kind=read|write]`: asserts the share of requests with an outcome.
    Told {
        service: ServiceId,
        told: CallerOutcome,
        #[arg(key)]
        least: Option<f64>,
        #[arg(key)]
        most: Option<f64>,
        #[arg(key)]
        last: Option<DurationArg>,
        #[arg(key)]
        kind: Option<RequestKind>,
    },
    /// `latency SERVICE p99=SPAN [last=SPAN]`: asserts the 99th percentile of reads.
    Latency {
        service: ServiceId,
        #[arg(key)]
        p99: DurationArg,
        #[arg(key)]
        last: Option<DurationArg>,
    },
    /// `share SERVICE REGION [least=S] [most=S]`: asserts the share of requests that goes
    /// to a region now.
    Share {
        service: ServiceId,
        region: RegionId,
        #[arg(key)]
        least: Option<f64>,
        #[arg(key)]
        most: Option<f64>,
    },
    /// `received UPSTREAM [least=N] [most=N] [last=SPAN]`: asserts the number of requests
    /// that an upstream received.
    Received {
        upstream: UpstreamId,
        #[arg(key)]
        least: Option<u32>,
        #[arg(key)]
        most: Option<u32>,
        #[arg(key)]
        last: Option<DurationArg>,
    },
    /// `revision N`: asserts that all running instances have applied a revision.
    Revision(u64),
}

impl Command {
    /// Returns whether the command must precede the start of the fleet.
    pub(super) fn is_setting(&self) -> bool {
        matches!(
            self,
            Self::Tenant { .. }
                | Self::Region { .. }
                | Self::Links { .. }
                | Self::Service { .. }
                | Self::Upstreams { .. }
                | Self::Instances { .. }
        )
    }

    /// Returns whether a trace contains the command. It contains the requests of a load
    /// instead of the load, and timestamps instead of `run`.
    pub(super) fn is_traced(&self) -> bool {
        !self.is_setting() && !matches!(self, Self::Load { .. } | Self::Run(_))
    }
}

macro_rules! define_keywords {
    ($(#[$doc:meta])* $name:ident, $expected:literal, $($variant:ident = $keyword:literal),+) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub(super) enum $name {
            $($variant),+
        }

        impl FromStr for $name {
            type Err = foxtide_core::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                match text {
                    $($keyword => Ok(Self::$variant),)+
                    _ => Err(foxtide_core::Error::parse(text, $expected)),
                }
            }
        }
    };
}

define_keywords!(
    /// State of the delivery of reports between instances.
    MeasurementsState,
    "`flowing`, `late` or `stopped`",
    Flowing = "flowing",
    Late = "late",
    Stopped = "stopped"
);

define_keywords!(
    /// State of the store.
    StoreState,
    "`up`, `down`, `slow`, `losing_answers` or `down_after_write`",
    Up = "up",
    Down = "down",
    Slow = "slow",
    LosingAnswers = "losing_answers",
    DownAfterWrite = "down_after_write"
);

define_keywords!(
    /// State of an upstream.
    UpstreamState,
    "a state of an upstream, such as `well` or `dead`",
    Well = "well",
    Dead = "dead",
    Silent = "silent",
    Slow = "slow",
    Shedding = "shedding",
    LosingAnswers = "losing_answers",
    Late = "late",
    Lying = "lying",
    Cold = "cold",
    Draining = "draining"
);

/// A priority argument of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PriorityArg(pub(super) Priority);

impl FromStr for PriorityArg {
    type Err = foxtide_core::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "latency" => Ok(Self(Priority::Latency)),
            "headroom" => Ok(Self(Priority::Headroom)),
            _ => Err(foxtide_core::Error::parse(text, "`latency` or `headroom`")),
        }
    }
}
