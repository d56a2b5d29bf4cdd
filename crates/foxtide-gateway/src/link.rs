//! Makes bulk bodies wait for their turns on the instance's own link.

use foxtide_clock::SteadyClock;
use foxtide_core::link::{
    BodyId,
    LinkRate,
    Pacer,
    Turn, //
};
use foxtide_core::units::ByteSize;
use parking_lot::Mutex;
use smol::Timer;

/// The link of this instance, on which bulk bodies are paced if its bandwidth is known.
#[derive(Debug)]
pub(crate) struct Link {
    clock: SteadyClock,
    pacer: Option<Mutex<Pacer>>,
}

/// A message with a bulk body that is being sent; dropping it ends its share of the link.
#[derive(Debug)]
pub(crate) struct PacedMessage<'a> {
    clock: SteadyClock,
    pacer: &'a Mutex<Pacer>,
    body: BodyId,
    left_bytes: u64,
}

impl Link {
    /// Returns the link of `link_mbps` megabits a second; 0 if unknown.
    pub(crate) fn new(link_mbps: u32, clock: SteadyClock) -> Self {
        let rate = LinkRate::from_mbps(link_mbps);
        Self {
            clock,
            pacer: rate.map(|rate| Mutex::new(Pacer::new(rate))),
        }
    }

    /// Begins to send a message of `message_bytes`; `None` if it need not be paced, as its body is
    /// small or the link is unknown.
    pub(crate) fn begin(&self, body: ByteSize, message_bytes: usize) -> Option<PacedMessage<'_>> {
        let pacer = self.pacer.as_ref()?;
        let body = pacer.lock().begin(body)?;
        let left_bytes = message_bytes as u64;
        add_backlog(left_bytes as f64);
        Some(PacedMessage {
            clock: self.clock,
            pacer,
            body,
            left_bytes,
        })
    }
}

impl PacedMessage<'_> {
    /// Waits for the message's turn; returns how many bytes are to be written in it.
    pub(crate) async fn turn(&mut self) -> usize {
        loop {
            let now = self.clock.now();
            let left = ByteSize::from_bytes(self.left_bytes);
            let turn = self.pacer.lock().take_turn(self.body, left, now);
            match turn {
                Turn::Now(size) => {
                    self.left_bytes -= size.get();
                    add_backlog(-(size.get() as f64));
                    return size.get() as usize;
                }
                Turn::At(time) => Timer::after(time - now).await,
            };
        }
    }
}

impl Drop for PacedMessage<'_> {
    fn drop(&mut self) {
        self.pacer.lock().end(self.body);
        add_backlog(-(self.left_bytes as f64));
    }
}

/// Changes the metric of the bytes that wait for their turns.
fn add_backlog(bytes: f64) {
    metrics::gauge!("foxtide_link_backlog_bytes").increment(bytes);
}
