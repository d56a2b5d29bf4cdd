//! Ways to run a request at most once, as the simulated fleet sees them.

use foxtide_core::idempotency::{
    Begin,
    Claim,
    Fingerprint,
    IdempotencyKey,
    OwnerId,
    ProcessNumber,
    RejectionReason,
    ReplayableAnswer,
    Table,
    TableOptions, //
};
use foxtide_core::outcome::Outcome;
use foxtide_core::time::WallTime;
use foxtide_core::units::ByteSize;
use xxhash_rust::xxh3::xxh3_64;

/// The random bytes of a key.
pub(super) type KeyRandom = [u8; 10];

/// What an instance does with a copy of a request.
#[derive(Debug)]
pub(super) enum Decision<C> {
    /// Runs it, once the way's own work is done.
    Run(C),
    /// Sends the caller to another instance.
    Redirect(usize),
    /// Answers.
    Tell(Told),
}

/// What a caller is told without a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Told {
    /// Final: as the outcome says.
    Final(Outcome),
    /// It is to ask again with the same key.
    TryAgain,
}

/// What an instance sees when it decides.
#[derive(Debug)]
pub(super) struct View<'a> {
    /// The instance that decides.
    pub(super) instance: usize,
    /// Its clock.
    pub(super) now: WallTime,
    /// Which instances it believes to be members.
    pub(super) members: &'a [bool],
}

/// A way to run a request at most once.
pub(super) trait Policy {
    /// A key as the caller holds it.
    type Key: Clone;
    /// The right to run it.
    type Claim;

    /// How long the way's own work takes before the first byte goes out.
    const BEGIN_DELAY_US: u64 = 0;

    /// Mints a key for a request that is to go to `instance` first.
    fn mint(&mut self, instance: usize, minted_at: WallTime, random: KeyRandom) -> Self::Key;
    /// Decides about a copy.
    fn begin(&mut self, view: &View<'_>, key: &Self::Key) -> Decision<Self::Claim>;
    /// Notes that a byte goes out.
    fn written(&mut self, instance: usize, claim: &Self::Claim);
    /// Notes that the upstream did not run it.
    fn proved_not_run(&mut self, instance: usize, claim: &Self::Claim);
    /// Keeps the answer.
    fn finish(&mut self, instance: usize, claim: Self::Claim);
    /// Gives up without an answer.
    fn abandon(&mut self, instance: usize, claim: Self::Claim) -> Outcome;
    /// Starts another process in a dead one's place.
    fn restart(&mut self, instance: usize);
    /// Lets time pass: what the way does by itself. `running` tells which
    /// processes neither died nor are paused.
    fn tick(&mut self, _now: WallTime, _running: &[bool]) {}
    /// Returns how often the store was written so far.
    fn store_writes(&self) -> u64 {
        0
    }
}

/// An answer of a kilobyte.
#[derive(Clone, Debug)]
pub(super) struct Answer;

impl ReplayableAnswer for Answer {
    fn size(&self) -> ByteSize {
        ByteSize::from_kib(1)
    }
}

/// Returns the fingerprint that all requests have here.
pub(super) fn fingerprint() -> Fingerprint {
    Fingerprint::of([b"unlock".as_slice()])
}

/// Returns the name of a process.
pub(super) fn owner(instance: usize, process: u64) -> OwnerId {
    let name = format!("entry-{instance}");
    OwnerId {
        instance: name.parse().expect("the name is valid"),
        process: ProcessNumber::new(process),
    }
}

fn tell<C>(rejection: RejectionReason) -> Decision<C> {
    Decision::Tell(Told::Final(rejection.outcome()))
}

/// The tables of a fleet, each in one process.
#[derive(Debug)]
pub(super) struct Tables {
    tables: Vec<Table<Answer>>,
    processes: u64,
}

impl Tables {
    /// Starts one process an instance.
    pub(super) fn new(instances: usize) -> Self {
        let start = |instance| Table::new(owner(instance, 0), TableOptions::default());
        Self {
            tables: (0..instances).map(start).collect(),
            processes: 0,
        }
    }

    /// Returns an instance's table.
    pub(super) fn of(&mut self, instance: usize) -> &mut Table<Answer> {
        &mut self.tables[instance]
    }

    /// Starts another process in a dead one's place.
    pub(super) fn restart(&mut self, instance: usize) {
        self.processes += 1;
        let owner = owner(instance, self.processes);
        self.tables[instance] = Table::new(owner, TableOptions::default());
    }

    /// Decides by an instance's table about a key that names its process.
    pub(super) fn begin(&mut self, view: &View<'_>, key: &IdempotencyKey) -> Decision<Claim> {
        let table = &mut self.tables[view.instance];
        match table.begin(key, fingerprint(), view.now) {
            Begin::Run(claim) => Decision::Run(claim),
            Begin::InProgress { .. } => Decision::Tell(Told::TryAgain),
            Begin::Replay(Answer) => Decision::Tell(Told::Final(Outcome::Done)),
            Begin::Reject(rejection) => tell(rejection.reason),
            Begin::NotOwner => {
                let name = key.owner().instance.as_str().trim_start_matches("entry-");
                let owner: usize = name.parse().expect("the name ends in a number");
                if view.members[owner] {
                    Decision::Redirect(owner)
                } else {
                    tell(RejectionReason::OwnerGone)
                }
            }
        }
    }
}

macro_rules! delegate_to_tables {
    () => {
        fn written(&mut self, instance: usize, claim: &Claim) {
            self.tables.of(instance).mark_written(claim);
        }

        fn proved_not_run(&mut self, instance: usize, claim: &Claim) {
            self.tables.of(instance).mark_not_run(claim);
        }

        fn finish(&mut self, instance: usize, claim: Claim) {
            self.tables.of(instance).finish(claim, Answer);
        }

        fn abandon(&mut self, instance: usize, claim: Claim) -> Outcome {
            self.tables.of(instance).abandon(claim)
        }
    };
}
pub(super) use delegate_to_tables;

/// The way that was chosen: a key names the process that may run it.
#[derive(Debug)]
pub(super) struct NamedOwner {
    tables: Tables,
}

impl NamedOwner {
    /// Returns the way for a fleet of this size.
    pub(super) fn new(instances: usize) -> Self {
        let tables = Tables::new(instances);
        Self { tables }
    }
}

impl Policy for NamedOwner {
    type Key = IdempotencyKey;
    type Claim = Claim;

    fn mint(&mut self, instance: usize, minted_at: WallTime, random: KeyRandom) -> IdempotencyKey {
        let owner = self.tables.of(instance).owner().clone();
        IdempotencyKey::mint(owner, minted_at, random)
    }

    fn begin(&mut self, view: &View<'_>, key: &IdempotencyKey) -> Decision<Claim> {
        self.tables.begin(view, key)
    }

    fn restart(&mut self, instance: usize) {
        self.tables.restart(instance);
    }

    delegate_to_tables!();
}

/// A plain key: its time and its random bytes.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlainKey {
    /// When it was minted.
    pub(super) minted_at: WallTime,
    /// What tells it from others.
    pub(super) random: KeyRandom,
}

impl PlainKey {
    /// Returns the same key in the name of a table's process.
    pub(super) fn named(&self, owner: &OwnerId) -> IdempotencyKey {
        IdempotencyKey::mint(owner.clone(), self.minted_at, self.random)
    }

    /// Returns the key's hash.
    pub(super) fn hash(&self) -> u64 {
        xxh3_64(&self.random)
    }
}

/// Affinity alone: the member with the highest rendezvous hash runs the key.
#[derive(Debug)]
pub(super) struct Affinity {
    tables: Tables,
}

impl Affinity {
    /// Returns the way for a fleet of this size.
    pub(super) fn new(instances: usize) -> Self {
        let tables = Tables::new(instances);
        Self { tables }
    }
}

impl Policy for Affinity {
    type Key = PlainKey;
    type Claim = Claim;

    fn mint(&mut self, _instance: usize, minted_at: WallTime, random: KeyRandom) -> PlainKey {
        PlainKey { minted_at, random }
    }

    fn begin(&mut self, view: &View<'_>, key: &PlainKey) -> Decision<Claim> {
        let weight = |instance: &usize| xxh3_64(&(key.hash() ^ (*instance as u64)).to_le_bytes());
        let members = (0..view.members.len()).filter(|instance| view.members[*instance]);
        match members.max_by_key(weight) {
            Some(owner) if owner != view.instance => Decision::Redirect(owner),
            _ => {
                let named = key.named(self.tables.of(view.instance).owner());
                self.tables.begin(view, &named)
            }
        }
    }

    fn restart(&mut self, instance: usize) {
        self.tables.restart(instance);
    }

    delegate_to_tables!();
}
