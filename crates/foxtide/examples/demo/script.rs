//! What happens to each tenant, step by step, and what is measured meanwhile.

use crate::callers::Caller;
use crate::promises::Promise;
use crate::tally::{
    End,
    Tally, //
};
use crate::world::{
    INSTANCES,
    LOOKUP_TTL_S,
    World, //
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

/// How many callers each tenant has in the demo.
const CALLERS: usize = 24;

/// How long traffic runs between two steps.
const CALM: Duration = Duration::from_secs(2);

/// How long the move runs.
const MOVE_TIME: Duration = Duration::from_secs(8);

/// How long a region is drained before the store goes.
const DRAIN_TIME: Duration = Duration::from_secs(8);

/// How long the store is away.
const OUTAGE: Duration = Duration::from_secs(4);

/// The most time in which a leaving upstream may still get new work, in
/// seconds.
const LEAVING_LIMIT: Duration = Duration::from_secs(2);

/// The most time until a change is in force everywhere, in seconds.
const IN_FORCE_LIMIT_S: f64 = 2.0;

/// Runs the whole script on one tenant.
pub(crate) async fn run(world: Arc<World>) -> Result<Vec<Promise>> {
    let tally = Arc::new(Tally::default());
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = Caller::new(world.clone(), tally.clone(), number, stop.clone());
            smol::spawn(caller.run())
        })
        .collect();
    let mut script = Script {
        world: world.clone(),
        tally: tally.clone(),
        promises: Vec::new(),
    };
    script.steps().await?;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await;
    }
    script.judge_outcomes();
    Ok(script.promises)
}

struct Script {
    world: Arc<World>,
    tally: Arc<Tally>,
    promises: Vec<Promise>,
}

impl Script {
    async fn steps(&mut self) -> Result<()> {
        self.say("traffic runs");
        Timer::after(CALM).await;
        self.drain_upstream().await.context("drain an upstream")?;
        self.move_traffic().await.context("move traffic")?;
        self.drain_region().await.context("drain a region")?;
        self.lose_store().await.context("lose the store")?;
        self.stop_instance().await;
        self.kill_instance().await?;
        self.judge_own_measures().await?;
        self.say(&format!("callers saw: {}", self.tally.summary()));
        Ok(())
    }

    async fn drain_upstream(&mut self) -> Result<()> {
        let service = self.world.tenant.read_service;
        let upstream = format!("{service}-1").parse()?;
        self.say(&format!("drains upstream {upstream}"));
        let target = DrainTarget::Upstream {
            service: service.parse()?,
            upstream: format!("{service}-1").parse()?,
        };
        let drain = Drain {
            id: "demo-drain".parse()?,
            target,
            start_us: wall(),
        };
        let announced_at = Instant::now();
        let edit = |document: &mut Organisation| document.drains.push(drain);
        let (revision, took) = self.world.change("drain an upstream", edit).await?;
        self.say(&format!("{revision} in force everywhere after {took:?}"));
        self.timed(
            "change in force everywhere",
            IN_FORCE_LIMIT_S,
            took.as_secs_f64(),
            "s",
        );
        Timer::after(LEAVING_LIMIT + CALM).await;
        let late = self.world.upstreams.get(&upstream);
        let late = late.map_or(0, |server| {
            server.received_after(announced_at + LEAVING_LIMIT)
        });
        self.counted("requests to a leaving upstream after 2 s", 0.0, late as f64);
        Ok(())
    }

    async fn move_traffic(&mut self) -> Result<()> {
        let [from, to, ..] = &self.world.regions[..] else {
            return Ok(());
        };
        self.say(&format!("moves traffic from {from} to {to}"));
        let planned = PlannedMove {
            id: "demo-move".parse()?,
            service: self.world.tenant.read_service.parse()?,
            from: from.clone(),
            to: to.clone(),
            share: Share::new(0.1)?,
            pace_share_per_s: ShareRate::new(0.02)?,
            start_us: wall(),
            paused_us: None,
        };
        let edit = |document: &mut Organisation| document.moves.push(planned);
        let (revision, _) = self.world.change("move traffic", edit).await?;
        self.say(&format!("{revision}: the move runs"));
        Timer::after(MOVE_TIME).await;
        Ok(())
    }

    /// Drains the last region; its traffic moves under the shift cap.
    async fn drain_region(&mut self) -> Result<()> {
        let Some(region) = self.world.regions.last().cloned() else {
            return Ok(());
        };
        self.say(&format!("drains region {region}"));
        let drain = Drain {
            id: "demo-region".parse()?,
            target: DrainTarget::Region(region),
            start_us: wall(),
        };
        let edit = |document: &mut Organisation| document.drains.push(drain);
        self.world.change("drain a region", edit).await?;
        Timer::after(DRAIN_TIME).await;
        Ok(())
    }

    async fn lose_store(&mut self) -> Result<()> {
        self.say("takes the store away");
        let before = self.tally.ended(End::Answered);
        let revision = self.world.lowest_revision();
        self.world
            .store
            .set_availability(Availability::Refusing)
            .await;
        Timer::after(OUTAGE).await;
        let during = self.tally.ended(End::Answered) - before;
        self.world
            .store
            .set_availability(Availability::Serving)
            .await;
        self.say(&format!(
            "gives the store back; {during} requests were answered without it"
        ));
        self.counted(
            "store away and no request answered",
            0.0,
            f64::from(u8::from(during == 0)),
        );
        let reverted = self.world.lowest_revision() < revision;
        self.counted(
            "configurations that reverted",
            0.0,
            f64::from(u8::from(reverted)),
        );
        let (revision, took) = self
            .world
            .change("after the outage", |document| document.drains.clear())
            .await?;
        self.say(&format!(
            "{revision} in force everywhere {took:?} after the store's return"
        ));
        Ok(())
    }

    async fn stop_instance(&mut self) {
        let Some((id, node)) = self.world.take_node(1) else {
            return;
        };
        self.say(&format!("stops instance {id} as planned"));
        let cut = self.tally.ended(End::Cut);
        node.stop().await;
        let cut = self.tally.ended(End::Cut) - cut;
        self.counted("requests cut by a planned stop", 0.0, cut as f64);
    }

    async fn kill_instance(&mut self) -> Result<()> {
        let Some((id, node)) = self.world.take_node(2) else {
            return Ok(());
        };
        self.say(&format!("kills instance {id}"));
        let killed_at = Instant::now();
        node.kill();
        self.world.wait_until_known(INSTANCES - 2).await?;
        let gone = killed_at.elapsed();
        self.say(&format!("no look-up names it any more after {gone:?}"));
        self.timed(
            "killed instance out of all look-ups",
            3.0,
            gone.as_secs_f64(),
            "s",
        );
        Timer::after(Duration::from_secs(LOOKUP_TTL_S.into()) + CALM).await;
        Ok(())
    }

    /// Asks every instance which promises it found broken.
    async fn judge_own_measures(&mut self) -> Result<()> {
        let kinds = [
            ("shift-cap", "shift above its cap"),
            ("spill-limit", "spill above its limit"),
            ("sold-rate", "region sent more than an instance's part"),
        ];
        let rows = self.world.promises().await?;
        for (kind, name) in kinds {
            let rows: Vec<_> = rows.iter().filter(|row| row.promise == kind).collect();
            if rows.is_empty() {
                return Err(anyhow!("no instance measured {kind}"));
            }
            let broken: Vec<_> = rows.iter().filter(|row| !row.held).collect();
            for row in &broken {
                self.say(&format!("broken: {row:?}"));
            }
            self.counted(name, 0.0, broken.len() as f64);
        }
        Ok(())
    }

    fn judge_outcomes(&mut self) {
        let writes = self.tally.writes();
        let doubled = writes
            .iter()
            .filter(|write| self.world.runs_of(&write.key) > 1);
        let doubled = doubled.count();
        let false_not_run = writes
            .iter()
            .filter(|write| write.end == End::NotRun && self.world.runs_of(&write.key) > 0);
        let false_not_run = false_not_run.count();
        let lost = writes
            .iter()
            .filter(|write| write.end == End::Answered && self.world.runs_of(&write.key) != 1);
        let lost = lost.count();
        self.counted("non-idempotent requests run twice", 0.0, doubled as f64);
        self.counted("requests told not-run that ran", 0.0, false_not_run as f64);
        self.counted("answered writes that did not run once", 0.0, lost as f64);
        self.counted(
            "answers not whole or not the caller's own",
            0.0,
            self.tally.ended(End::Wrong) as f64,
        );
        self.counted(
            "callers made no write",
            0.0,
            f64::from(u8::from(writes.is_empty())),
        );
        self.timed("p99 latency of reads", 250.0, self.tally.p99_ms(), "ms");
    }

    fn say(&self, text: &str) {
        println!("{:<11} {text}", self.world.tenant.name);
    }

    fn counted(&mut self, name: &'static str, limit: f64, measured: f64) {
        self.promise(name, limit, measured, "count", false);
    }

    fn timed(&mut self, name: &'static str, limit: f64, measured: f64, unit: &'static str) {
        self.promise(name, limit, measured, unit, true);
    }

    fn promise(
        &mut self,
        name: &'static str,
        limit: f64,
        measured: f64,
        unit: &'static str,
        timed: bool,
    ) {
        self.promises.push(Promise {
            tenant: self.world.tenant.name,
            name,
            limit,
            measured,
            unit,
            timed,
        });
    }
}

fn wall() -> WallTime {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallTime::ZERO + now
}
