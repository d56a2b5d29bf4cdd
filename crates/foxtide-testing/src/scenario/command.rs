//! The commands of the scenario language.

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
/// Commands of operators have the operator's name as prefix: `alice: read`.
#[derive(Clone, Debug, goldenscript::Command)]
pub(super) enum Command {
    /// `tenant hamutenya|kluisdepot [SERVICE...]`: the setting of an
    /// organisation of today, with all of its services or those named.
    Tenant {
        name: Tenant,
        #[arg(many, optional)]
        services: Vec<ServiceId>,
    },
    /// `region NAME sold=RATE [zones=N]`: a region and what was sold there.
    Region {
        name: RegionId,
        #[arg(key)]
        sold: RequestRate,
        #[arg(key)]
        zones: Option<u32>,
    },
    /// `links sold=RATE delay=SPAN`: links between every two regions.
    Links {
        #[arg(key)]
        sold: RequestRate,
        #[arg(key)]
        delay: DurationArg,
    },
    /// `service NAME [spill=] [cap=] [deadline=] [drain_window=] [priority=]`:
    /// a service and its contract; all regions are its homes.
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
    /// `upstreams SERVICE per_region=N slots=N service_time=SPAN`.
    Upstreams {
        service: ServiceId,
        #[arg(key)]
        per_region: u32,
        #[arg(key)]
        slots: u32,
        #[arg(key)]
        service_time: DurationArg,
    },
    /// `instances per_region=N`.
    Instances {
        #[arg(key)]
        per_region: u32,
    },
    /// `load SERVICE REGION... rate=RATE [kind=read|write]`: steady callers in
    /// each of the regions.
    Load {
        service: ServiceId,
        #[arg(many)]
        regions: Vec<RegionId>,
        #[arg(key)]
        rate: RequestRate,
        #[arg(key)]
        kind: Option<RequestKind>,
    },
    /// `run SPAN`: lets time pass.
    Run(DurationArg),

    /// `region_down REGION`: all that stands there dies.
    RegionDown(RegionId),
    /// `region_up REGION`: all that stands there starts again.
    RegionUp(RegionId),
    /// `cut REGION REGION`: all that is sent between them is lost; `store`
    /// stands for the store.
    Cut(RegionId, RegionId),
    /// `heal REGION REGION`: ends a cut.
    Heal(RegionId, RegionId),
    /// `kill INSTANCE`: its process dies.
    Kill(InstanceId),
    /// `restart INSTANCE`: a new process starts on it.
    Restart(InstanceId),
    /// `pause INSTANCE SPAN`: its process stands still.
    Pause(InstanceId, DurationArg),
    /// `stop INSTANCE`: a planned stop.
    Stop(InstanceId),
    /// `measurements flowing|late|stopped [by=SPAN]`: what instances hear of
    /// each other's measurements.
    Measurements {
        state: MeasurementsState,
        #[arg(key)]
        by: Option<DurationArg>,
    },
    /// `store up|down|slow|losing_answers|down_after_write [by=SPAN] [next=N]`.
    Store {
        state: StoreState,
        #[arg(key)]
        by: Option<DurationArg>,
        #[arg(key)]
        next: Option<u32>,
    },
    /// `upstream NAME well|dead|silent|slow|shedding|losing_answers|late|lying
    /// |cold|draining [factor=X] [by=SPAN]`; a name that ends in `*` stands for
    /// all that begin like it.
    Upstream {
        name: String,
        state: UpstreamState,
        #[arg(key)]
        factor: Option<f64>,
        #[arg(key)]
        by: Option<DurationArg>,
    },

    /// `OPERATOR: read`: the operator reads the document.
    Read,
    /// `OPERATOR: move SERVICE from=REGION to=REGION share=S pace=P`.
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
    /// `OPERATOR: drain upstream|zone|region|instance NAME [service=SERVICE]`.
    Drain {
        kind: DrainKind,
        name: String,
        #[arg(key)]
        service: Option<ServiceId>,
    },
    /// `OPERATOR: spill SERVICE limit=S`.
    Spill {
        service: ServiceId,
        #[arg(key)]
        limit: Share,
    },
    /// `OPERATOR: sold REGION rate=RATE`.
    Sold {
        region: RegionId,
        #[arg(key)]
        rate: RequestRate,
    },

    /// `promises [PROMISE...]`: every promise was kept, and those named were
    /// put to the test.
    Promises(#[arg(many, optional)] Vec<Promise>),
    /// `told SERVICE done|not-run|unknown|nothing [least=P] [most=P] [last=SPAN]
    /// [kind=read|write]`: which part of the requests ended this way.
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
    /// `latency SERVICE p99=SPAN [last=SPAN]`.
    Latency {
        service: ServiceId,
        #[arg(key)]
        p99: DurationArg,
        #[arg(key)]
        last: Option<DurationArg>,
    },
    /// `share SERVICE REGION [least=S] [most=S]`: where requests go now.
    Share {
        service: ServiceId,
        region: RegionId,
        #[arg(key)]
        least: Option<f64>,
        #[arg(key)]
        most: Option<f64>,
    },
    /// `received UPSTREAM [least=N] [most=N] [last=SPAN]`.
    Received {
        upstream: UpstreamId,
        #[arg(key)]
        least: Option<u32>,
        #[arg(key)]
        most: Option<u32>,
        #[arg(key)]
        last: Option<DurationArg>,
    },
    /// `revision N`: it is in force on every instance that runs.
    Revision(u64),
}

impl Command {
    /// Tells whether the command is part of the setting.
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

    /// Tells whether a trace holds the command; loads are held as requests,
    /// and time passes by itself.
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
    /// What instances hear of each other's measurements.
    MeasurementsState,
    "`flowing`, `late` or `stopped`",
    Flowing = "flowing",
    Late = "late",
    Stopped = "stopped"
);

define_keywords!(
    /// What the store does.
    StoreState,
    "`up`, `down`, `slow`, `losing_answers` or `down_after_write`",
    Up = "up",
    Down = "down",
    Slow = "slow",
    LosingAnswers = "losing_answers",
    DownAfterWrite = "down_after_write"
);

define_keywords!(
    /// What an upstream does.
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

/// A contract's priority as a script names it.
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
