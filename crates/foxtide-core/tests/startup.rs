//! A whole fleet that reads the store over one link after it has lost power.
//!
//! The figures are those of 295 instances on a store with 1,000 Mbit/s: a first page of
//! 200 KB and 400 KB after it, machines with 20 Mbit/s, and starts within 0.3 s.

use foxtide_core::registry::startup_read_delay;

const INSTANCES: usize = 295;

/// Bytes that the store's link and a machine's carry in a millisecond.
const STORE_LINK: f64 = 125_000.0;
const MACHINE_LINK: f64 = 2_500.0;

const FIRST_PAGE: f64 = 200_000.0;
const OTHER_PAGES: f64 = 400_000.0;

#[derive(Clone, Copy)]
struct Reader {
    begins_ms: u64,
    wait_ms: u64,
    first: f64,
    others: f64,
}

/// Returns when each instance has read everything, in milliseconds and in that order.
fn ready(wait_ms: impl Fn(usize) -> u64) -> Vec<u64> {
    let mut readers: Vec<Reader> = (0..INSTANCES)
        .map(|number| Reader {
            begins_ms: number as u64,
            wait_ms: wait_ms(number),
            first: FIRST_PAGE,
            others: OTHER_PAGES,
        })
        .collect();
    let mut ready = Vec::new();
    for now_ms in 0..10_000 {
        let reads = |reader: &&mut Reader| now_ms >= reader.begins_ms && reader.others > 0.0;
        let reading = readers.iter_mut().filter(reads);
        let reading: Vec<&mut Reader> = reading.collect();
        let part = (STORE_LINK / reading.len().max(1) as f64).min(MACHINE_LINK);
        for reader in reading {
            if reader.first > 0.0 {
                reader.first -= part;
                reader.begins_ms = if reader.first > 0.0 {
                    reader.begins_ms
                } else {
                    now_ms + reader.wait_ms
                };
                continue;
            }
            reader.others -= part;
            if reader.others <= 0.0 {
                ready.push(now_ms);
            }
        }
    }
    assert_eq!(ready.len(), INSTANCES);
    ready
}

/// Draws that fill the range evenly.
fn draw(number: usize) -> f64 {
    (number as f64 * 0.618_034).fract()
}

#[test]
fn verify_the_first_are_ready_earlier_and_the_last_hardly_later() {
    let together = ready(|_| 0);
    let spread = ready(|number| startup_read_delay(INSTANCES, draw(number)).as_millis() as u64);
    let quarter = INSTANCES / 4;
    assert!(spread[quarter] + 150 < together[quarter]);
    assert!(spread[INSTANCES / 2] < together[INSTANCES / 2]);
    assert!(spread[INSTANCES - 1] < together[INSTANCES - 1] + 150);
}

#[test]
fn verify_a_wait_is_short_for_few_and_bounded_for_many() {
    assert!(startup_read_delay(1, 1.0).as_millis() <= 2);
    assert_eq!(startup_read_delay(INSTANCES, 0.0).as_millis(), 0);
    assert_eq!(startup_read_delay(INSTANCES, 1.0).as_millis(), 590);
    assert_eq!(startup_read_delay(100_000, 1.0).as_millis(), 1_500);
    assert_eq!(startup_read_delay(usize::MAX, 2.0).as_millis(), 1_500);
}
