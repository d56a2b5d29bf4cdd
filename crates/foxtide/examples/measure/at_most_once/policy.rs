//! The interface of at-most-once policies, and the policies without a store.

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

pub(super) type KeyRandom = [u8; 10];

/// What an instance does with an attempt.
#[derive(Debug)]
pub(super) enum Decision<C> {
    /// Runs the request after [`Policy::BEGIN_DELAY_US`].
    Run(C),
    /// Redirects the caller to another instance.
    Redirect(usize),
    /// Replies without running the request.
    Reply(Reply),
}

/// A reply to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reply {
    /// The outcome of the request or of the key.
    Final(Outcome),
    /// The caller is to retry with the same key.
    Retry,
}

/// The state of an instance on which a policy decides.
#[derive(Debug)]
pub(super) struct View<'a> {
    pub(super) instance: usize,
    /// The instance's clock.
    pub(super) now: WallTime,
    /// For each instance, whether it is believed to be a member.
    pub(super) members: &'a [bool],
}

/// A policy that runs requests at most once.
pub(super) trait Policy {
    /// The key that a caller sends.
    type Key: Clone;
    /// The right to run a key.
    type Claim;

    /// Duration of the policy's own work before the first byte is sent.
    const BEGIN_DELAY_US: u64 = 0;

    /// Mints a key for a request whose first attempt goes to `instance`.
    fn mint(&mut self, instance: usize, minted_at: WallTime, random: KeyRandom) -> Self::Key;
    /// Decides on an attempt.
    fn begin(&mut self, view: &View<'_>, key: &Self::Key) -> Decision<Self::Claim>;
    /// Records that a byte is sent to the upstream.
    fn mark_written(&mut self, instance: usize, claim: &Self::Claim);
    /// Records that the upstream did not run the request.
    fn mark_not_run(&mut self, instance: usize, claim: &Self::Claim);
    /// Stores the response.
    fn finish(&mut self, instance: usize, claim: Self::Claim);
    /// Ends the request without a response and returns its outcome.
    fn abandon(&mut self, instance: usize, claim: Self::Claim) -> Outcome;
    /// Replaces the state of a crashed process by that of a new one.
    fn restart(&mut self, instance: usize);
    /// Performs periodic work. `running` tells which processes are neither crashed
    /// nor paused.
    fn tick(&mut self, _now: WallTime, _running: &[bool]) {}
    /// Returns the number of writes to the store so far.
    fn store_writes(&self) -> u64 {
        0
    }
}

/// A response of 1 KiB.
#[derive(Clone, Debug)]
pub(super) struct Answer;

impl ReplayableAnswer for Answer {
    fn size(&self) -> ByteSize {
        ByteSize::from_kib(1)
    }
}

/// Returns the fingerprint of all simulated requests.
pub(super) fn fingerprint() -> Fingerprint {
    Fingerprint::of([b"unlock".as_slice()])
}

/// Returns the owner id of a process.
pub(super) fn owner(instance: usize, process: u64) -> OwnerId {
    let name = format!("entry-{instance}");
    OwnerId {
        instance: name.parse().expect("valid name"),
        process: ProcessNumber::new(process),
    }
}

fn reject<C>(rejection: RejectionReason) -> Decision<C> {
    Decision::Reply(Reply::Final(rejection.outcome()))
}

/// The tables of idempotency keys of a fleet, one per process.
#[derive(Debug)]
pub(super) struct Tables {
    tables: Vec<Table<Answer>>,
    processes: u64,
}

impl Tables {
    /// Creates the tables of the first process of each instance.
    pub(super) fn new(instances: usize) -> Self {
        let start = |instance| Table::new(owner(instance, 0), TableOptions::default());
        Self {
            tables: (0..instances).map(start).collect(),
            processes: 0,
        }
    }

    pub(super) fn table(&mut self, instance: usize) -> &mut Table<Answer> {
        &mut self.tables[instance]
    }

    /// Replaces the table of a crashed process by an empty one with a new owner.
    pub(super) fn restart(&mut self, instance: usize) {
        self.processes += 1;
        let owner = owner(instance, self.processes);
        self.tables[instance] = Table::new(owner, TableOptions::default());
    }

    /// Decides on a key that names its owner; redirects to the owner if it is a member.
    pub(super) fn begin(&mut self, view: &View<'_>, key: &IdempotencyKey) -> Decision<Claim> {
        let table = &mut self.tables[view.instance];
        match table.begin(key, fingerprint(), view.now) {
            Begin::Run(claim) => Decision::Run(claim),
            Begin::InProgress { .. } => Decision::Reply(Reply::Retry),
            Begin::Replay(Answer) => Decision::Reply(Reply::Final(Outcome::Done)),
            Begin::Reject(rejection) => reject(rejection.reason),
            Begin::NotOwner => {
                let name = key.owner().instance.as_str().trim_start_matches("entry-");
                let owner: usize = name.parse().expect("the name ends with a number");
                if view.members[owner] {
                    Decision::Redirect(owner)
                } else {
                    reject(RejectionReason::OwnerGone)
                }
            }
        }
    }
}

macro_rules! delegate_to_tables {
    () => {
        fn mark_written(&mut self, instance: usize, claim: &Claim) {
            self.tables.table(instance).mark_written(claim);
        }

        fn mark_not_run(&mut self, instance: usize, claim: &Claim) {
            self.tables.table(instance).mark_not_run(claim);
        }

        fn finish(&mut self, instance: usize, claim: Claim) {
            self.tables.table(instance).finish(claim, Answer);
        }

        fn abandon(&mut self, instance: usize, claim: Claim) -> Outcome {
            self.tables.table(instance).abandon(claim)
        }
    };
}
pub(super) use delegate_to_tables;

/// The policy of foxtide: a key names the process that may run it.
#[derive(Debug)]
pub(super) struct NamedOwner {
    tables: Tables,
}

impl NamedOwner {
    pub(super) fn new(instances: usize) -> Self {
        let tables = Tables::new(instances);
        Self { tables }
    }
}

impl Policy for NamedOwner {
    type Key = IdempotencyKey;
    type Claim = Claim;

    fn mint(&mut self, instance: usize, minted_at: WallTime, random: KeyRandom) -> IdempotencyKey {
        let owner = self.tables.table(instance).owner().clone();
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

/// A key that does not name an owner.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlainKey {
    pub(super) minted_at: WallTime,
    pub(super) random: KeyRandom,
}

impl PlainKey {
    /// Returns the same key with an owner.
    pub(super) fn with_owner(&self, owner: &OwnerId) -> IdempotencyKey {
        IdempotencyKey::mint(owner.clone(), self.minted_at, self.random)
    }

    pub(super) fn hash(&self) -> u64 {
        xxh3_64(&self.random)
    }
}

/// Affinity only: the member with the highest rendezvous hash runs the key.
#[derive(Debug)]
pub(super) struct Affinity {
    tables: Tables,
}

impl Affinity {
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
                let owned_key = key.with_owner(self.tables.table(view.instance).owner());
                self.tables.begin(view, &owned_key)
            }
        }
    }

    fn restart(&mut self, instance: usize) {
        self.tables.restart(instance);
    }

    delegate_to_tables!();
}
