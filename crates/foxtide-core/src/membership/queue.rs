//! Rumours waiting to be sent along with other messages.
//!
//! Each rumour goes out a bounded number of times, growing with the logarithm
//! of the group (SWIM, section 4.1); those sent least go first.

use super::message::Rumour;

/// A rumour and how often it still goes out.
#[derive(Clone, Debug)]
struct Waiting {
    rumour: Rumour,
    sent: u32,
}

/// The rumours that this instance still spreads.
#[derive(Clone, Debug, Default)]
pub(crate) struct RumourQueue {
    waiting: Vec<Waiting>,
}

impl RumourQueue {
    /// Adds a rumour; it takes the place of those it covers.
    pub(crate) fn push(&mut self, rumour: Rumour) {
        self.waiting
            .retain(|waiting| !rumour.covers(&waiting.rumour));
        self.waiting.push(Waiting { rumour, sent: 0 });
    }

    /// Returns whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how many rumours wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Takes the rumours for one packet of at most `bytes_max`, and forgets
    /// those that went out `limit` times.
    pub(crate) fn take(&mut self, bytes_max: usize, limit: u32) -> Vec<Rumour> {
        self.waiting.sort_by_key(|waiting| waiting.sent);
        let mut left_bytes = bytes_max;
        let mut taken = Vec::new();
        for waiting in &mut self.waiting {
            let size_bytes = waiting.rumour.size_bound_bytes();
            if size_bytes > left_bytes {
                break;
            }
            left_bytes -= size_bytes;
            waiting.sent += 1;
            taken.push(waiting.rumour.clone());
        }
        self.waiting.retain(|waiting| waiting.sent < limit);
        taken
    }
}

/// Returns how often a rumour goes out in a group of `members`.
pub(crate) fn transmissions(factor: u32, members: usize) -> u32 {
    let rounds = usize::BITS - members.leading_zeros();
    factor * rounds.max(1)
}
