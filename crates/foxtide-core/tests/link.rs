//! Tests the pacing of bulk bodies: large responses on narrow and wide links.

use foxtide_core::link::{
    BodyId,
    LinkRate,
    PIECE_MAX,
    Pacer,
    Turn, //
};
use foxtide_core::time::MonotonicTime;
use foxtide_core::units::ByteSize;
use std::time::Duration;

/// The largest response of the deployments.
const LARGE: ByteSize = ByteSize::from_bytes(540_000);

/// A body that is written, and what its writer does next.
#[derive(Clone, Copy, Debug)]
struct Body {
    id: BodyId,
    left_bytes: u64,
    turns: usize,
    wakes_at: MonotonicTime,
}

/// Writers of bodies on one link, each of which wakes up `late` after the time that it set.
#[derive(Debug)]
struct Writers {
    pacer: Pacer,
    bodies: Vec<Body>,
    late: Duration,
    wake_ups: usize,
    last_turn_at: MonotonicTime,
}

impl Writers {
    fn new(link_mbps: u32, sizes: &[ByteSize]) -> Self {
        let mut pacer = Pacer::new(LinkRate::from_mbps(link_mbps).unwrap());
        let begin = |size: &ByteSize| Body {
            id: pacer.begin(*size).unwrap(),
            left_bytes: size.get(),
            turns: 0,
            wakes_at: MonotonicTime::ZERO,
        };
        let bodies = sizes.iter().map(begin).collect();
        Self {
            pacer,
            bodies,
            late: Duration::ZERO,
            wake_ups: 0,
            last_turn_at: MonotonicTime::ZERO,
        }
    }

    /// Runs the next writer; returns the time and the size of its turn, or `None` if it waits on.
    fn step(&mut self) -> Option<(MonotonicTime, u64)> {
        let open = self.bodies.iter_mut().filter(|body| body.left_bytes > 0);
        let body = open.min_by_key(|body| body.wakes_at).unwrap();
        let now = body.wakes_at;
        self.wake_ups += 1;
        let left = ByteSize::from_bytes(body.left_bytes);
        match self.pacer.take_turn(body.id, left, now) {
            Turn::Now(size) => {
                body.left_bytes -= size.get();
                body.turns += 1;
                self.last_turn_at = now;
                Some((now, size.get()))
            }
            Turn::At(time) => {
                assert!(time > now, "a writer must not spin");
                body.wakes_at = time + self.late;
                None
            }
        }
    }

    fn is_open(&self) -> bool {
        self.bodies.iter().any(|body| body.left_bytes > 0)
    }

    /// Runs until all is written; returns the time of the last turn.
    fn run(&mut self) -> MonotonicTime {
        while self.is_open() {
            let _ = self.step();
        }
        self.last_turn_at
    }
}

/// Guards against delay on wide links, and against a wake-up for each piece there.
#[test]
fn verify_a_wide_link_sends_a_large_body_in_a_few_turns() {
    for late_ms in [0, 3] {
        let mut writers = Writers::new(200, &[LARGE]);
        writers.late = Duration::from_millis(late_ms);
        // At 180 Mbit/s the last turn has left the link after 24 ms.
        assert!(writers.run() < MonotonicTime::from_ms(24));
        assert!(writers.bodies[0].turns <= 7, "{writers:?}");
        assert!(writers.wake_ups <= 14, "{writers:?}");
    }
}

/// Guards against a datagram behind a whole response on a narrow link.
#[test]
fn verify_a_datagram_waits_for_a_piece_and_the_lead_at_most() {
    let mut writers = Writers::new(10, &[LARGE; 6]);
    let bytes_per_ms = 10_000.0 / 8.0;
    let (mut queued_bytes, mut before) = (0.0, MonotonicTime::ZERO);
    while writers.is_open() {
        let Some((now, bytes)) = writers.step() else {
            continue;
        };
        assert!(bytes <= PIECE_MAX.get());
        let sent_bytes = (now - before).as_secs_f64() * 1_000.0 * bytes_per_ms;
        queued_bytes = f64::max(queued_bytes - sent_bytes, 0.0) + bytes as f64;
        before = now;
        // 13 ms for the piece, 4 ms for the lead.
        assert!(
            queued_bytes / bytes_per_ms <= 17.2,
            "{queued_bytes} at {now}"
        );
    }
}

/// Guards against one body that starves others, and against a link that idles while bodies wait.
#[test]
fn verify_bodies_share_the_rate_equally_and_use_all_of_it() {
    for late_ms in [0, 3] {
        let mut writers = Writers::new(10, &[LARGE; 3]);
        writers.late = Duration::from_millis(late_ms);
        while writers.bodies.iter().all(|body| body.left_bytes > 0) {
            let _ = writers.step();
            let turns = writers.bodies.iter().map(|body| body.turns);
            // The first body asks for its second turn before the others ask at all.
            assert!(turns.clone().max().unwrap() - turns.min().unwrap() <= 2);
        }
        // 1.62 MB at 9 Mbit/s.
        let end = writers.run();
        assert!((1_410..1_445).contains(&end.as_ms()), "{end}");
    }
}

/// Guards against a share that is kept for a caller that has left or reads slowly.
#[test]
fn verify_a_body_that_ends_or_pauses_leaves_the_rate_to_the_others() {
    let mut writers = Writers::new(10, &[LARGE; 2]);
    for _ in 0..8 {
        let _ = writers.step();
    }
    let left = writers.bodies.remove(0);
    writers.pacer.end(left.id);
    let (turns, begun) = (writers.bodies[0].turns, writers.bodies[0].wakes_at);
    let end = writers.run();
    let turns = writers.bodies[0].turns - turns;
    let time = Duration::from_micros(14_564) * u32::try_from(turns).unwrap();
    assert!(end - begun <= time + Duration::from_millis(15), "{end}");
}

/// Guards against a body whose writer is slow to run, which would block the queue.
#[test]
fn verify_a_stalled_process_sends_no_burst_afterwards() {
    let mut writers = Writers::new(10, &[LARGE; 6]);
    for _ in 0..20 {
        let _ = writers.step();
    }
    // All timers are overdue: the instance has not run for a while.
    let resumed = writers
        .bodies
        .iter()
        .map(|body| body.wakes_at)
        .max()
        .unwrap();
    let resumed = resumed + Duration::from_millis(90);
    for body in &mut writers.bodies {
        body.wakes_at = resumed;
    }
    let begun = (0..6).filter(|_| writers.step().is_some()).count();
    assert!(begun <= 1, "{begun} turns at once");
}

/// Guards against waits of responses that fit in one piece.
#[test]
fn verify_small_bodies_are_not_paced() {
    let mut pacer = Pacer::new(LinkRate::from_mbps(10).unwrap());
    assert_eq!(pacer.begin(PIECE_MAX), None);
    assert!(
        pacer
            .begin(ByteSize::from_bytes(PIECE_MAX.get() + 1))
            .is_some()
    );
    assert_eq!(LinkRate::from_mbps(0), None);
    assert_eq!(LinkRate::from_mbps(200).unwrap().to_string(), "200Mbit/s");
}
