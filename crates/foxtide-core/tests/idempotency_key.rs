//! Parsing and formatting of idempotency keys.

use foxtide_core::idempotency::{
    IdempotencyKey,
    KeyError,
    OwnerId, //
};
use foxtide_core::time::WallTime;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const OWNER: &str = "entry-3.9f2c8a7b6d5e4f30";
const UUID_V4: &str = "936da01f-9abd-4d9d-80c7-02af85c822a8";
const UUID_V7: &str = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";

fn owner() -> OwnerId {
    OWNER.parse().unwrap()
}

#[test]
fn verify_the_time_of_the_published_example() {
    // RFC 9562, appendix A.6: Tuesday, February 22, 2022 2:22:22.00 PM GMT-05:00.
    let key: IdempotencyKey = format!("{OWNER}:{UUID_V7}").parse().unwrap();
    assert_eq!(key.minted_at(), WallTime::from_ms(1_645_557_742_000));
    assert_eq!(*key.owner(), owner());
}

#[test]
fn verify_quoted_keys_are_accepted() {
    let plain: IdempotencyKey = format!("{OWNER}:{UUID_V7}").parse().unwrap();
    let quoted: IdempotencyKey = format!("\"{OWNER}:{UUID_V7}\"").parse().unwrap();
    assert_eq!(plain, quoted);
}

#[test]
fn verify_a_plain_uuid_has_no_owner() {
    for text in [UUID_V7, UUID_V4, "notice-17", ""] {
        let error = text.parse::<IdempotencyKey>().unwrap_err();
        assert!(matches!(error, KeyError::NoOwner { .. }), "{text}: {error}");
    }
}

#[test]
fn verify_errors_name_the_malformed_part() {
    for text in [
        format!("entry-3:{UUID_V7}"),
        format!("entry-3.9f2c:{UUID_V7}"),
        format!("entry-3.9F2C8A7B6D5E4F30:{UUID_V7}"),
        format!("Entry.9f2c8a7b6d5e4f30:{UUID_V7}"),
        format!(":{UUID_V7}"),
    ] {
        let error = text.parse::<IdempotencyKey>().unwrap_err();
        assert!(matches!(error, KeyError::Owner { .. }), "{text}: {error}");
    }
    for text in [format!("{OWNER}:{UUID_V4}"), format!("{OWNER}:17")] {
        let error = text.parse::<IdempotencyKey>().unwrap_err();
        assert!(matches!(error, KeyError::Uuid { .. }), "{text}: {error}");
    }
}

fn seeded() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(6_010),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn verify_minted_keys_round_trip(ms in 0_u64..1 << 48, random: [u8; 10]) {
        let key = IdempotencyKey::mint(owner(), WallTime::from_ms(ms), random);
        prop_assert_eq!(key.to_string().parse::<IdempotencyKey>().unwrap(), key.clone());
        prop_assert_eq!(key.minted_at(), WallTime::from_ms(ms));
    }

    #[test]
    fn verify_the_parser_never_panics(text in "\\PC{0,80}") {
        let _ = text.parse::<IdempotencyKey>();
    }
}
