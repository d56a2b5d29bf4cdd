//! A model of instances, an upstream and a caller that sends copies of non-idempotent
//! requests. Steps in any order cover pauses.

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
use std::time::Duration;

/// The instance whose first process owns all keys.
const OWNER: usize = 0;

const START: WallTime = WallTime::from_ms(10_000_000);
const VALIDITY: Duration = Duration::from_secs(300);

#[derive(Clone, Debug)]
struct Answer;

impl ReplayableAnswer for Answer {
    fn size(&self) -> ByteSize {
        ByteSize::from_bytes(1)
    }
}

/// A bug that the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedBug {
    /// No bug: the checks must hold.
    None,
    /// Any instance runs the key, as with affinity alone.
    AnyInstanceRuns,
    /// A restarted process reuses the name of its predecessor.
    SameNameAfterRestart,
    /// A full table drops its keys and continues.
    DropsKeysWhenFull,
    /// A table drops expired keys without rejecting them afterwards.
    DropsExpiredKeys,
    /// A byte is sent before it is recorded in the table.
    WriteNotRecorded,
    /// An attempt without a response is sent again.
    ResendsAfterWrite,
    /// An instance that cannot reach the owner reports that the request was not run.
    OwnerGoneIsNotRun,
}

/// A broken guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// A key was run more than once.
    RanTwice,
    /// A key was reported as not run although it was run or may still be.
    FalseNotRun,
    /// A key was reported as done although it was not run.
    FalseDone,
}

/// The size of a model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) instances: usize,
    pub(crate) keys: usize,
    pub(crate) copies: usize,
    pub(crate) restarts: usize,
    pub(crate) jumps: usize,
    pub(crate) keys_max: usize,
    /// The size of a clock jump, in seconds.
    pub(crate) jump_s: u64,
}

/// An event in the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// The caller sends a copy of a request.
    Send { key: usize, instance: usize },
    /// A copy arrives at an instance, which may consider the owner gone.
    Arrive { copy: usize, owner_gone: bool },
    /// The copy's first byte is sent to the upstream.
    Write { copy: usize },
    /// Nothing could be sent: the connection was refused.
    WriteFails { copy: usize },
    /// The copy's deadline passes or its caller disconnects.
    GiveUp { copy: usize },
    /// The upstream rejects the copy without running it.
    UpstreamRejects { copy: usize },
    /// The upstream runs a request that reached it.
    UpstreamRuns { sent: usize },
    /// The upstream's complete response arrives.
    Answered { copy: usize },
    /// A process dies and another replaces it.
    Restart { instance: usize },
    /// An instance's clock jumps forward.
    ClockForward { instance: usize },
    /// An instance's clock jumps back.
    ClockBack { instance: usize },
}

#[derive(Debug)]
enum Stage {
    Sent,
    Claimed(Claim),
    Written { claim: Claim, sent: usize },
    Ended,
}

#[derive(Debug)]
struct RequestCopy {
    key: usize,
    instance: usize,
    stage: Stage,
}

#[derive(Debug)]
struct Instance {
    table: Table<Answer>,
    now: WallTime,
}

/// A request whose first byte was sent; the upstream may run it at any time.
#[derive(Debug, PartialEq, Eq)]
struct SentRequest {
    key: usize,
    state: SentState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SentState {
    UnderWay,
    Ran,
    Rejected,
}

#[derive(Debug)]
pub(crate) struct Model {
    bounds: Bounds,
    bug: InjectedBug,
    keys: Vec<IdempotencyKey>,
    instances: Vec<Instance>,
    copies: Vec<RequestCopy>,
    sent: Vec<SentRequest>,
    restarts: usize,
    jumps: usize,
    /// The guarantees that were broken.
    pub(crate) violations: Vec<Violation>,
}

impl Model {
    pub(crate) fn new(bounds: Bounds, bug: InjectedBug) -> Self {
        let owner = owner_of(OWNER, 0);
        let mint = |number: usize| {
            let minted_at = START + Duration::from_millis(number as u64);
            IdempotencyKey::mint(owner.clone(), minted_at, [0; 10])
        };
        let start = |number| Instance {
            table: table_of(owner_of(number, 0), bounds),
            now: START,
        };
        Self {
            bounds,
            bug,
            keys: (0..bounds.keys).map(mint).collect(),
            instances: (0..bounds.instances).map(start).collect(),
            copies: Vec::new(),
            sent: Vec::new(),
            restarts: 0,
            jumps: 0,
            violations: Vec::new(),
        }
    }

    /// Returns all possible next steps.
    pub(crate) fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        self.caller_steps(&mut steps);
        for (copy, state) in self.copies.iter().enumerate() {
            self.copy_steps(copy, &state.stage, &mut steps);
        }
        for (sent, request) in self.sent.iter().enumerate() {
            if request.state == SentState::UnderWay {
                steps.push(Step::UpstreamRuns { sent });
            }
        }
        self.instance_steps(&mut steps);
        steps
    }

    fn caller_steps(&self, steps: &mut Vec<Step>) {
        if self.copies.len() == self.bounds.copies {
            return;
        }
        for key in 0..self.bounds.keys {
            let to = |instance| Step::Send { key, instance };
            steps.extend((0..self.bounds.instances).map(to));
        }
    }

    fn copy_steps(&self, copy: usize, stage: &Stage, steps: &mut Vec<Step>) {
        match stage {
            Stage::Sent => {
                let arrive = |owner_gone| Step::Arrive { copy, owner_gone };
                steps.push(arrive(false));
                if self.copies[copy].instance != OWNER {
                    steps.push(arrive(true));
                }
            }
            Stage::Claimed(_) => {
                steps.push(Step::Write { copy });
                steps.push(Step::WriteFails { copy });
                steps.push(Step::GiveUp { copy });
            }
            Stage::Written { sent, .. } => {
                steps.push(Step::GiveUp { copy });
                match self.sent[*sent].state {
                    SentState::UnderWay => steps.push(Step::UpstreamRejects { copy }),
                    SentState::Ran => steps.push(Step::Answered { copy }),
                    SentState::Rejected => {}
                }
            }
            Stage::Ended => {}
        }
    }

    fn instance_steps(&self, steps: &mut Vec<Step>) {
        for instance in 0..self.bounds.instances {
            if self.restarts < self.bounds.restarts {
                steps.push(Step::Restart { instance });
            }
            if self.jumps < self.bounds.jumps {
                steps.push(Step::ClockForward { instance });
                steps.push(Step::ClockBack { instance });
            }
        }
    }

    pub(crate) fn take(&mut self, step: Step) {
        match step {
            Step::Send { key, instance } => self.copies.push(RequestCopy {
                key,
                instance,
                stage: Stage::Sent,
            }),
            Step::Arrive { copy, owner_gone } => self.arrive(copy, owner_gone),
            Step::Write { copy } => self.write(copy),
            Step::WriteFails { copy } => self.fail_write(copy),
            Step::GiveUp { copy } => self.give_up(copy),
            Step::UpstreamRejects { copy } => self.reject(copy),
            Step::UpstreamRuns { sent } => self.run(sent),
            Step::Answered { copy } => self.answer(copy),
            Step::Restart { instance } => self.restart(instance),
            Step::ClockForward { instance } => self.jump(instance, |now, by| now + by),
            Step::ClockBack { instance } => self.jump(instance, WallTime::saturating_sub),
        }
    }

    fn arrive(&mut self, copy: usize, owner_gone: bool) {
        let RequestCopy { key, instance, .. } = self.copies[copy];
        let mut begin = self.begin(key, instance);
        if self.bug == InjectedBug::DropsKeysWhenFull && is_full(&begin) {
            let owner = self.instances[instance].table.owner().clone();
            self.instances[instance].table = table_of(owner, self.bounds);
            begin = self.begin(key, instance);
        }
        match begin {
            Begin::Run(claim) => self.copies[copy].stage = Stage::Claimed(claim),
            Begin::InProgress { .. } => self.end(copy, Outcome::Unknown),
            Begin::Replay(Answer) => self.end(copy, Outcome::Done),
            Begin::Reject(rejection) => self.end(copy, rejection.outcome()),
            Begin::NotOwner => self.redirect(copy, owner_gone),
        }
    }

    fn begin(&mut self, key: usize, instance: usize) -> Begin<Answer> {
        let instance = &mut self.instances[instance];
        let mut key = self.keys[key].clone();
        if self.bug == InjectedBug::AnyInstanceRuns {
            let owner = instance.table.owner().clone();
            key = IdempotencyKey::mint(owner, key.minted_at(), [0; 10]);
        }
        let fingerprint = Fingerprint::of([b"unlock".as_slice()]);
        instance.table.begin(&key, fingerprint, instance.now)
    }

    /// Redirects the caller to the owner or, if that is considered gone, reports it.
    fn redirect(&mut self, copy: usize, owner_gone: bool) {
        if owner_gone {
            let outcome = if self.bug == InjectedBug::OwnerGoneIsNotRun {
                Outcome::NotRun
            } else {
                RejectionReason::OwnerGone.outcome()
            };
            self.end(copy, outcome);
        } else {
            self.copies[copy].instance = OWNER;
        }
    }

    fn write(&mut self, copy: usize) {
        let Stage::Claimed(claim) = self.take_stage(copy) else {
            unreachable!("only a claimed copy is written");
        };
        let key = self.copies[copy].key;
        if self.bug != InjectedBug::WriteNotRecorded {
            self.table(copy).mark_written(&claim);
        }
        let sent = self.send_upstream(key);
        self.copies[copy].stage = Stage::Written { claim, sent };
    }

    fn send_upstream(&mut self, key: usize) -> usize {
        let state = SentState::UnderWay;
        self.sent.push(SentRequest { key, state });
        self.sent.len() - 1
    }

    fn fail_write(&mut self, copy: usize) {
        let Stage::Claimed(claim) = self.take_stage(copy) else {
            unreachable!("only a claimed copy is written");
        };
        self.table(copy).mark_written(&claim);
        self.table(copy).mark_not_run(&claim);
        let outcome = self.table(copy).abandon(claim);
        self.end(copy, outcome);
    }

    fn give_up(&mut self, copy: usize) {
        let stage = self.take_stage(copy);
        let key = self.copies[copy].key;
        if self.bug == InjectedBug::ResendsAfterWrite && matches!(stage, Stage::Written { .. }) {
            self.send_upstream(key);
        }
        if let Stage::Claimed(claim) | Stage::Written { claim, .. } = stage {
            let outcome = self.table(copy).abandon(claim);
            self.end(copy, outcome);
        }
    }

    fn reject(&mut self, copy: usize) {
        let Stage::Written { claim, sent } = self.take_stage(copy) else {
            unreachable!("only a written copy is rejected");
        };
        self.sent[sent].state = SentState::Rejected;
        self.table(copy).mark_not_run(&claim);
        let outcome = self.table(copy).abandon(claim);
        self.end(copy, outcome);
    }

    fn run(&mut self, sent: usize) {
        self.sent[sent].state = SentState::Ran;
        if self.runs(self.sent[sent].key) > 1 {
            self.violations.push(Violation::RanTwice);
        }
    }

    fn answer(&mut self, copy: usize) {
        let Stage::Written { claim, .. } = self.take_stage(copy) else {
            unreachable!("only a written copy is answered");
        };
        self.table(copy).finish(claim, Answer);
        self.end(copy, Outcome::Done);
    }

    fn restart(&mut self, instance: usize) {
        self.restarts += 1;
        let process = if self.bug == InjectedBug::SameNameAfterRestart {
            0
        } else {
            self.restarts as u64
        };
        let owner = owner_of(instance, process);
        self.instances[instance].table = table_of(owner, self.bounds);
        let lost = |copy: &&mut RequestCopy| copy.instance == instance;
        for copy in self.copies.iter_mut().filter(lost) {
            copy.stage = Stage::Ended;
        }
    }

    fn jump(&mut self, instance: usize, change: fn(WallTime, Duration) -> WallTime) {
        self.jumps += 1;
        let by = Duration::from_secs(self.bounds.jump_s);
        let instance = &mut self.instances[instance];
        let before = instance.now;
        instance.now = change(before, by);
        if self.bug == InjectedBug::DropsExpiredKeys && instance.now > before {
            let owner = instance.table.owner().clone();
            instance.table = table_of(owner, self.bounds);
        }
    }

    fn end(&mut self, copy: usize, outcome: Outcome) {
        self.copies[copy].stage = Stage::Ended;
        let key = self.copies[copy].key;
        if outcome == Outcome::NotRun && self.may_run(key) {
            self.violations.push(Violation::FalseNotRun);
        }
        if outcome == Outcome::Done && self.runs(key) == 0 {
            self.violations.push(Violation::FalseDone);
        }
    }

    fn runs(&self, key: usize) -> usize {
        let ran = |sent: &&SentRequest| sent.key == key && sent.state == SentState::Ran;
        self.sent.iter().filter(ran).count()
    }

    /// Returns whether a key was run or is still on its way to the upstream.
    fn may_run(&self, key: usize) -> bool {
        let may = |sent: &SentRequest| sent.key == key && sent.state != SentState::Rejected;
        self.sent.iter().any(may)
    }

    fn take_stage(&mut self, copy: usize) -> Stage {
        std::mem::replace(&mut self.copies[copy].stage, Stage::Ended)
    }

    fn table(&mut self, copy: usize) -> &mut Table<Answer> {
        &mut self.instances[self.copies[copy].instance].table
    }
}

fn owner_of(instance: usize, process: u64) -> OwnerId {
    OwnerId {
        instance: format!("entry-{instance}").parse().unwrap(),
        process: ProcessNumber::new(process),
    }
}

fn table_of(owner: OwnerId, bounds: Bounds) -> Table<Answer> {
    let options = TableOptions {
        validity: VALIDITY,
        keys_max: bounds.keys_max,
        ..TableOptions::default()
    };
    Table::new(owner, options)
}

fn is_full(begin: &Begin<Answer>) -> bool {
    matches!(begin, Begin::Reject(rejection) if rejection.reason == RejectionReason::TableFull)
}
