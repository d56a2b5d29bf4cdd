//! Tests of the idempotency table: runs, replays, rejections and eviction.

use foxtide_core::idempotency::{
    Begin,
    Claim,
    Fingerprint,
    IdempotencyKey,
    OwnerId,
    RejectionReason,
    ReplayableAnswer,
    Table,
    TableOptions,
    TableUsage, //
};
use foxtide_core::outcome::Outcome;
use foxtide_core::time::WallTime;
use foxtide_core::units::ByteSize;
use std::time::Duration;

const START: WallTime = WallTime::from_ms(1_000_000);
const VALIDITY: Duration = Duration::from_secs(300);
const VALIDITY_MIN: Duration = Duration::from_secs(60);

#[derive(Clone, Debug, PartialEq, Eq)]
struct Text(&'static str);

impl ReplayableAnswer for Text {
    fn size(&self) -> ByteSize {
        ByteSize::from_bytes(self.0.len() as u64)
    }
}

fn owner() -> OwnerId {
    "entry-1.00000000000000aa".parse().unwrap()
}

fn key(number: u8) -> IdempotencyKey {
    key_at(START, number)
}

fn key_at(minted_at: WallTime, number: u8) -> IdempotencyKey {
    IdempotencyKey::mint(owner(), minted_at, [number; 10])
}

fn request() -> Fingerprint {
    Fingerprint::of([b"unlock".as_slice(), b"locker=7"])
}

fn table(options: TableOptions) -> Table<Text> {
    Table::new(owner(), options)
}

fn run(table: &mut Table<Text>, key: &IdempotencyKey) -> Claim {
    run_at(table, key, START)
}

fn run_at(table: &mut Table<Text>, key: &IdempotencyKey, now: WallTime) -> Claim {
    match table.begin(key, request(), now) {
        Begin::Run(claim) => claim,
        other => panic!("{other:?}"),
    }
}

fn rejection_at(table: &mut Table<Text>, key: &IdempotencyKey, now: WallTime) -> RejectionReason {
    match table.begin(key, request(), now) {
        Begin::Reject(rejection) => rejection.reason,
        other => panic!("{other:?}"),
    }
}

fn is_replay(table: &mut Table<Text>, key: &IdempotencyKey, answer: &Text) -> bool {
    matches!(table.begin(key, request(), START), Begin::Replay(stored) if stored == *answer)
}

#[test]
fn verify_a_stored_answer_is_replayed() {
    let mut table = table(TableOptions::default());
    let claim = run(&mut table, &key(1));
    let again = table.begin(&key(1), request(), START);
    assert!(matches!(again, Begin::InProgress { .. }), "{again:?}");
    table.mark_written(&claim);
    table.finish(claim, Text("opened"));
    assert!(is_replay(&mut table, &key(1), &Text("opened")));
}

#[test]
fn verify_an_attempt_that_sent_nothing_is_not_run() {
    let mut table = table(TableOptions::default());
    let claim = run(&mut table, &key(1));
    assert_eq!(table.abandon(claim), Outcome::NotRun);
    let claim = run(&mut table, &key(1));
    table.mark_written(&claim);
    table.mark_not_run(&claim);
    assert_eq!(table.abandon(claim), Outcome::NotRun);
}

#[test]
fn verify_a_lost_answer_stays_unknown() {
    let mut table = table(TableOptions::default());
    let claim = run(&mut table, &key(1));
    table.mark_written(&claim);
    assert_eq!(table.abandon(claim), Outcome::Unknown);
    let reason = rejection_at(&mut table, &key(1), START);
    assert_eq!(reason, RejectionReason::AnswerLost);
    assert_eq!(reason.outcome(), Outcome::Unknown);
}

#[test]
fn verify_a_reused_key_is_rejected() {
    let mut table = table(TableOptions::default());
    let other = Fingerprint::of([b"unlock".as_slice(), b"locker=8"]);
    let claim = run(&mut table, &key(1));
    for _ in 0..2 {
        let begin = table.begin(&key(1), other, START);
        let Begin::Reject(rejection) = begin else {
            panic!("{begin:?}");
        };
        assert_eq!(rejection.reason, RejectionReason::KeyReused);
    }
    table.finish(claim, Text("opened"));
    let begin = table.begin(&key(1), other, START);
    assert!(matches!(begin, Begin::Reject(_)), "{begin:?}");
}

#[test]
fn verify_fingerprints_delimit_parts() {
    let left = Fingerprint::of([b"ab".as_slice(), b"c"]);
    let right = Fingerprint::of([b"a".as_slice(), b"bc"]);
    assert_ne!(left, right);
}

#[test]
fn verify_only_the_owning_process_runs_a_key() {
    let mut other_instance: Table<Text> = Table::new(
        "entry-2.00000000000000bb".parse().unwrap(),
        TableOptions::default(),
    );
    let begin = other_instance.begin(&key(1), request(), START);
    assert!(matches!(begin, Begin::NotOwner), "{begin:?}");

    let mut restarted: Table<Text> = Table::new(
        "entry-1.00000000000000ab".parse().unwrap(),
        TableOptions::default(),
    );
    let reason = rejection_at(&mut restarted, &key(1), START);
    assert_eq!(reason, RejectionReason::OwnerGone);
    assert_eq!(reason.outcome(), Outcome::Unknown);
}

#[test]
fn verify_an_evicted_key_is_rejected_when_the_clock_goes_back() {
    let mut table = table(TableOptions::default());
    for number in [1, 3] {
        let claim = run(&mut table, &key(number));
        table.finish(claim, Text("opened"));
    }
    let later = START + VALIDITY + Duration::from_millis(1);
    let claim = run_at(&mut table, &key_at(later, 1), later);
    assert_eq!(table.usage().ended, 0, "both are evicted");
    for number in 1..=3 {
        let reason = rejection_at(&mut table, &key(number), START);
        assert_eq!(reason, RejectionReason::KeyExpired);
    }
    // A key newer than every evicted one is still accepted.
    let newer = run_at(&mut table, &key(4), START);
    assert_eq!(table.abandon(newer), Outcome::NotRun);
    assert_eq!(table.abandon(claim), Outcome::NotRun);
}

#[test]
fn verify_a_running_key_outlives_its_validity() {
    let mut table = table(TableOptions::default());
    let claim = run(&mut table, &key(1));
    table.mark_written(&claim);
    let later = START + VALIDITY * 2;
    let begin = table.begin(&key(1), request(), later);
    assert!(matches!(begin, Begin::InProgress { .. }), "{begin:?}");
    table.finish(claim, Text("opened"));
    let reason = rejection_at(&mut table, &key(1), later);
    assert_eq!(reason, RejectionReason::KeyExpired);
}

#[test]
fn verify_a_key_from_the_future_is_rejected_until_its_time() {
    let mut table = table(TableOptions::default());
    let key = key_at(START + Duration::from_millis(700), 1);
    let begin = table.begin(&key, request(), START);
    let Begin::Reject(rejection) = begin else {
        panic!("{begin:?}");
    };
    assert_eq!(rejection.reason, RejectionReason::KeyFromFuture);
    let wait = rejection.retry_after.unwrap();
    assert_eq!(wait, Duration::from_millis(200));
    let claim = run_at(&mut table, &key, START + wait);
    assert_eq!(table.abandon(claim), Outcome::NotRun);
}

#[test]
fn verify_a_full_table_rejects_new_keys_and_keeps_existing_ones() {
    let mut table = table(TableOptions {
        keys_max: 2,
        ..TableOptions::default()
    });
    let first = run(&mut table, &key(1));
    table.finish(first, Text("opened"));
    let second = run(&mut table, &key(2));
    let begin = table.begin(&key(3), request(), START);
    let Begin::Reject(rejection) = begin else {
        panic!("{begin:?}");
    };
    assert_eq!(rejection.outcome(), Outcome::NotRun);
    assert_eq!(rejection.retry_after, Some(VALIDITY_MIN));
    assert!(is_replay(&mut table, &key(1), &Text("opened")));
    assert_eq!(table.abandon(second), Outcome::NotRun);
    let third = run(&mut table, &key(3));
    table.finish(third, Text("opened"));
}

#[test]
fn verify_a_full_table_evicts_old_keys_and_rejects_them() {
    let mut table = table(TableOptions {
        keys_max: 2,
        ..TableOptions::default()
    });
    for number in [1, 2] {
        let claim = run(&mut table, &key(number));
        table.finish(claim, Text("opened"));
    }
    let later = START + VALIDITY_MIN + Duration::from_millis(1);
    let known = table.begin(&key(1), request(), later);
    assert!(matches!(known, Begin::Replay(_)), "{known:?}");
    let claim = run_at(&mut table, &key_at(later, 3), later);
    table.finish(claim, Text("opened"));
    for number in [1, 2] {
        let reason = rejection_at(&mut table, &key(number), later);
        assert_eq!(reason, RejectionReason::KeyExpired);
    }
}

#[test]
fn verify_keys_are_retained_when_their_answers_are_dropped() {
    let mut table = table(TableOptions {
        answers_max: ByteSize::from_bytes(10),
        answer_max: ByteSize::from_bytes(8),
        ..TableOptions::default()
    });
    for (number, text) in [(1, "sixsix"), (2, "fours"), (3, "far too long")] {
        let claim = run(&mut table, &key(number));
        table.finish(claim, Text(text));
    }
    assert_eq!(table.usage().answers_size, ByteSize::from_bytes(5));
    assert!(is_replay(&mut table, &key(2), &Text("fours")));
    for number in [1, 3] {
        let reason = rejection_at(&mut table, &key(number), START);
        assert_eq!(reason, RejectionReason::AnswerDropped);
        assert_eq!(reason.outcome(), Outcome::Done);
    }
}

#[test]
fn verify_a_tick_evicts_expired_keys() {
    let mut table = table(TableOptions::default());
    for number in 1..=40 {
        let claim = run(&mut table, &key(number));
        table.finish(claim, Text("opened"));
    }
    table.tick(START + VALIDITY);
    assert_eq!(table.usage().ended, 40, "all are still valid");
    table.tick(START + VALIDITY + Duration::from_millis(1));
    assert_eq!(table.usage(), TableUsage::default());
}
