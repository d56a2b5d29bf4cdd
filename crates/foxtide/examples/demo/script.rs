//! The steps that the demo runs on each tenant, and the promises it checks.

use crate::callers::Caller;
use crate::deployment::{
    Deployment,
    INSTANCES,
    LOOKUP_TTL_S, //
};
use crate::promises::Promise;
use crate::stats::{
    CallerStats,
    Outcome, //
};
use anyhow::{
    Context,
    Result,
    anyhow, //
};
use foxtide_core::organisation::{
    Drain,
    DrainTarget,
    Organisation,
    PlannedMove, //
};
use foxtide_core::time::WallTime;
use foxtide_core::units::{
    Share,
    ShareRate, //
};
use foxtide_testing::Availability;
use smol::Timer;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

/// The number of callers of each tenant.
const CALLERS: usize = 24;

/// The time between two steps.
const STEP_PAUSE: Duration = Duration::from_secs(2);

const MOVE_DURATION: Duration = Duration::from_secs(8);

/// The time between the drain of the region and the store's outage.
const REGION_DRAIN_DURATION: Duration = Duration::from_secs(8);

const OUTAGE_DURATION: Duration = Duration::from_secs(4);

/// The longest time after its drain is announced in which an upstream may
/// still receive new requests.
const DRAINING_LIMIT: Duration = Duration::from_secs(2);

/// The longest time until a change is in force at every instance, in seconds.
const IN_FORCE_LIMIT_S: f64 = 2.0;

/// Runs all steps on one tenant while its callers send requests.
pub(crate) async fn run(deployment: Arc<Deployment>) -> Result<Vec<Promise>> {
    let stats = Arc::new(CallerStats::default());
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = Caller::new(deployment.clone(), stats.clone(), number, stop.clone());
            smol::spawn(caller.run())
        })
        .collect();
    let mut script = Script {
        deployment: deployment.clone(),
        stats: stats.clone(),
        promises: Vec::new(),
    };
    script.steps().await?;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await;
    }
    script.check_outcomes();
    Ok(script.promises)
}

struct Script {
    deployment: Arc<Deployment>,
    stats: Arc<CallerStats>,
    promises: Vec<Promise>,
}

impl Script {
    async fn steps(&mut self) -> Result<()> {
        self.print("callers send requests");
        Timer::after(STEP_PAUSE).await;
        self.drain_upstream().await.context("drain an upstream")?;
        self.move_traffic().await.context("move traffic")?;
        self.drain_region().await.context("drain a region")?;
        self.lose_store().await.context("lose the store")?;
        self.stop_instance().await;
        self.kill_instance().await?;
        self.check_reported_promises().await?;
        self.print(&format!("callers saw: {}", self.stats.summary()));
        Ok(())
    }

    async fn drain_upstream(&mut self) -> Result<()> {
        let service = self.deployment.tenant.read_service;
        let upstream = format!("{service}-1").parse()?;
        self.print(&format!("draining upstream {upstream}"));
        let target = DrainTarget::Upstream {
            service: service.parse()?,
            upstream: format!("{service}-1").parse()?,
        };
        let drain = Drain {
            id: "demo-drain".parse()?,
            target,
            start_us: wall_time(),
        };
        let announced_at = Instant::now();
        let edit = |document: &mut Organisation| document.drains.push(drain);
        let (revision, propagation) = self.deployment.change("drain an upstream", edit).await?;
        self.print(&format!(
            "{revision} in force at every instance after {propagation:?}"
        ));
        self.check_time(
            "change in force everywhere",
            IN_FORCE_LIMIT_S,
            propagation.as_secs_f64(),
            "s",
        );
        Timer::after(DRAINING_LIMIT + STEP_PAUSE).await;
        let late_requests = self.deployment.upstreams.get(&upstream);
        let late_requests = late_requests.map_or(0, |server| {
            server.received_after(announced_at + DRAINING_LIMIT)
        });
        self.check_count(
            "requests to a leaving upstream after 2 s",
            0.0,
            late_requests as f64,
        );
        Ok(())
    }

    async fn move_traffic(&mut self) -> Result<()> {
        let [from, to, ..] = &self.deployment.regions[..] else {
            return Ok(());
        };
        self.print(&format!("moving traffic from {from} to {to}"));
        let planned = PlannedMove {
            id: "demo-move".parse()?,
            service: self.deployment.tenant.read_service.parse()?,
            from: from.clone(),
            to: to.clone(),
            share: Share::new(0.1)?,
            pace_share_per_s: ShareRate::new(0.02)?,
            start_us: wall_time(),
            paused_us: None,
        };
        let edit = |document: &mut Organisation| document.moves.push(planned);
        let (revision, _) = self.deployment.change("move traffic", edit).await?;
        self.print(&format!("{revision} in force; the move is under way"));
        Timer::after(MOVE_DURATION).await;
        Ok(())
    }

    /// Drains the last region; the shift cap limits how fast its traffic moves.
    async fn drain_region(&mut self) -> Result<()> {
        let Some(region) = self.deployment.regions.last().cloned() else {
            return Ok(());
        };
        self.print(&format!("draining region {region}"));
        let drain = Drain {
            id: "demo-region".parse()?,
            target: DrainTarget::Region(region),
            start_us: wall_time(),
        };
        let edit = |document: &mut Organisation| document.drains.push(drain);
        self.deployment.change("drain a region", edit).await?;
        Timer::after(REGION_DRAIN_DURATION).await;
        Ok(())
    }

    async fn lose_store(&mut self) -> Result<()> {
        self.print("making the store unavailable");
        let answered_before = self.stats.outcome_count(Outcome::Answered);
        let revision = self.deployment.lowest_revision();
        self.deployment
            .store
            .set_availability(Availability::Refusing)
            .await;
        Timer::after(OUTAGE_DURATION).await;
        let answered_during = self.stats.outcome_count(Outcome::Answered) - answered_before;
        self.deployment
            .store
            .set_availability(Availability::Serving)
            .await;
        self.print(&format!(
            "store available again; {answered_during} requests were answered during the outage"
        ));
        self.check_count(
            "store away and no request answered",
            0.0,
            f64::from(u8::from(answered_during == 0)),
        );
        let reverted = self.deployment.lowest_revision() < revision;
        self.check_count(
            "configurations that reverted",
            0.0,
            f64::from(u8::from(reverted)),
        );
        let (revision, propagation) = self
            .deployment
            .change("after the outage", |document| document.drains.clear())
            .await?;
        self.print(&format!(
            "{revision} in force at every instance {propagation:?} after the outage"
        ));
        Ok(())
    }

    async fn stop_instance(&mut self) {
        let Some((id, node)) = self.deployment.take_node(1) else {
            return;
        };
        self.print(&format!("stopping instance {id} (planned)"));
        let cut_before = self.stats.outcome_count(Outcome::Cut);
        node.stop().await;
        let cut = self.stats.outcome_count(Outcome::Cut) - cut_before;
        self.check_count("requests cut by a planned stop", 0.0, cut as f64);
    }

    async fn kill_instance(&mut self) -> Result<()> {
        let Some((id, node)) = self.deployment.take_node(2) else {
            return Ok(());
        };
        self.print(&format!("killing instance {id}"));
        let killed_at = Instant::now();
        node.kill();
        self.deployment.wait_until_listed(INSTANCES - 2).await?;
        let removed_after = killed_at.elapsed();
        self.print(&format!("no instance lists it after {removed_after:?}"));
        self.check_time(
            "killed instance out of all look-ups",
            3.0,
            removed_after.as_secs_f64(),
            "s",
        );
        Timer::after(Duration::from_secs(LOOKUP_TTL_S.into()) + STEP_PAUSE).await;
        Ok(())
    }

    /// Checks the promises that the instances measure themselves.
    async fn check_reported_promises(&mut self) -> Result<()> {
        let kinds = [
            ("shift-cap", "shift above its cap"),
            ("spill-limit", "spill above its limit"),
            ("sold-rate", "region sent more than an instance's part"),
        ];
        let rows = self.deployment.promises().await?;
        for (kind, name) in kinds {
            let rows: Vec<_> = rows.iter().filter(|row| row.promise == kind).collect();
            if rows.is_empty() {
                return Err(anyhow!("no instance reports the promise {kind}"));
            }
            let broken: Vec<_> = rows.iter().filter(|row| !row.held).collect();
            for row in &broken {
                self.print(&format!("broken: {row:?}"));
            }
            self.check_count(name, 0.0, broken.len() as f64);
        }
        Ok(())
    }

    fn check_outcomes(&mut self) {
        let writes = self.stats.writes();
        let run_twice = writes
            .iter()
            .filter(|write| self.deployment.runs_of(&write.key) > 1);
        let run_twice = run_twice.count();
        let ran_despite_not_run = writes.iter().filter(|write| {
            write.outcome == Outcome::NotRun && self.deployment.runs_of(&write.key) > 0
        });
        let ran_despite_not_run = ran_despite_not_run.count();
        let not_run_once = writes.iter().filter(|write| {
            write.outcome == Outcome::Answered && self.deployment.runs_of(&write.key) != 1
        });
        let not_run_once = not_run_once.count();
        self.check_count("non-idempotent requests run twice", 0.0, run_twice as f64);
        self.check_count(
            "requests told not-run that ran",
            0.0,
            ran_despite_not_run as f64,
        );
        self.check_count(
            "answered writes that did not run once",
            0.0,
            not_run_once as f64,
        );
        self.check_count(
            "answers not whole or not the caller's own",
            0.0,
            self.stats.outcome_count(Outcome::Wrong) as f64,
        );
        self.check_count(
            "callers made no write",
            0.0,
            f64::from(u8::from(writes.is_empty())),
        );
        self.check_time("p99 latency of reads", 250.0, self.stats.p99_ms(), "ms");
    }

    fn print(&self, text: &str) {
        println!("{:<11} {text}", self.deployment.tenant.name);
    }

    fn check_count(&mut self, name: &'static str, limit: f64, measured: f64) {
        self.record(name, limit, measured, "count", false);
    }

    fn check_time(&mut self, name: &'static str, limit: f64, measured: f64, unit: &'static str) {
        self.record(name, limit, measured, unit, true);
    }

    fn record(
        &mut self,
        name: &'static str,
        limit: f64,
        measured: f64,
        unit: &'static str,
        timed: bool,
    ) {
        self.promises.push(Promise {
            tenant: self.deployment.tenant.name,
            name,
            limit,
            measured,
            unit,
            timed,
        });
    }
}

fn wall_time() -> WallTime {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallTime::ZERO + now
}
