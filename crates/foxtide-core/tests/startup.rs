//! Models a fleet that reads the store over one shared link after a power loss.

use foxtide_core::registry::startup_read_delay;

const INSTANCES: usize = 295;

/// Bandwidths in bytes per millisecond.
const STORE_LINK_BYTES_PER_MS: f64 = 125_000.0;
const MACHINE_LINK_BYTES_PER_MS: f64 = 2_500.0;

const FIRST_PAGE_BYTES: f64 = 200_000.0;
const OTHER_PAGES_BYTES: f64 = 400_000.0;

#[derive(Clone, Copy)]
struct Reader {
    begins_ms: u64,
    wait_ms: u64,
    first_bytes: f64,
    others_bytes: f64,
}

/// Returns the times in milliseconds at which instances finish, in ascending order.
fn finish_times_ms(wait_ms: impl Fn(usize) -> u64) -> Vec<u64> {
    let mut readers: Vec<Reader> = (0..INSTANCES)
        .map(|number| Reader {
            begins_ms: number as u64,
            wait_ms: wait_ms(number),
            first_bytes: FIRST_PAGE_BYTES,
            others_bytes: OTHER_PAGES_BYTES,
        })
        .collect();
    let mut ready = Vec::new();
    for now_ms in 0..10_000 {
        let reads = |reader: &&mut Reader| now_ms >= reader.begins_ms && reader.others_bytes > 0.0;
        let reading = readers.iter_mut().filter(reads);
        let reading: Vec<&mut Reader> = reading.collect();
        let share =
            (STORE_LINK_BYTES_PER_MS / reading.len().max(1) as f64).min(MACHINE_LINK_BYTES_PER_MS);
        for reader in reading {
            if reader.first_bytes > 0.0 {
                reader.first_bytes -= share;
                reader.begins_ms = if reader.first_bytes > 0.0 {
                    reader.begins_ms
                } else {
                    now_ms + reader.wait_ms
                };
                continue;
            }
            reader.others_bytes -= share;
            if reader.others_bytes <= 0.0 {
                ready.push(now_ms);
            }
        }
    }
    assert_eq!(ready.len(), INSTANCES);
    ready
}

/// Returns evenly distributed values from 0 to 1.
fn draw(number: usize) -> f64 {
    (number as f64 * 0.618_034).fract()
}

#[test]
fn verify_the_delay_speeds_up_most_instances_and_hardly_delays_the_last() {
    let undelayed = finish_times_ms(|_| 0);
    let delayed =
        finish_times_ms(|number| startup_read_delay(INSTANCES, draw(number)).as_millis() as u64);
    let quarter = INSTANCES / 4;
    assert!(delayed[quarter] + 150 < undelayed[quarter]);
    assert!(delayed[INSTANCES / 2] < undelayed[INSTANCES / 2]);
    assert!(delayed[INSTANCES - 1] < undelayed[INSTANCES - 1] + 150);
}

#[test]
fn verify_the_delay_grows_with_the_fleet_and_is_bounded() {
    assert!(startup_read_delay(1, 1.0).as_millis() <= 2);
    assert_eq!(startup_read_delay(INSTANCES, 0.0).as_millis(), 0);
    assert_eq!(startup_read_delay(INSTANCES, 1.0).as_millis(), 590);
    assert_eq!(startup_read_delay(100_000, 1.0).as_millis(), 1_500);
    assert_eq!(startup_read_delay(usize::MAX, 2.0).as_millis(), 1_500);
}
