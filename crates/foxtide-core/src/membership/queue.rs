//! Queue of rumours to piggyback on packets.
//!
//! Each rumour is sent a bounded number of times, which grows with the logarithm of the
//! group's size (SWIM, section 4.1); those sent least are sent first.

use super::message::Rumour;

/// A rumour and the number of its transmissions.
#[derive(Clone, Debug)]
struct Waiting {
    rumour: Rumour,
    sent: u32,
}

/// Rumours that are still to be sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct RumourQueue {
    waiting: Vec<Waiting>,
}

impl RumourQueue {
    /// Adds a rumour in place of those that it supersedes.
    pub(crate) fn push(&mut self, rumour: Rumour) {
        self.waiting
            .retain(|waiting| !rumour.covers(&waiting.rumour));
        self.waiting.push(Waiting { rumour, sent: 0 });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the rumours for a packet, of at most `bytes_max`, and drops those that
    /// were sent `limit` times.
    pub(crate) fn take(&mut self, bytes_max: usize, limit: u32) -> Vec<Rumour> {
        self.waiting.sort_by_key(|waiting| waiting.sent);
        let mut remaining_bytes = bytes_max;
        let mut taken = Vec::new();
        for waiting in &mut self.waiting {
            let size_bytes = waiting.rumour.size_bound_bytes();
            if size_bytes > remaining_bytes {
                break;
            }
            remaining_bytes -= size_bytes;
            waiting.sent += 1;
            taken.push(waiting.rumour.clone());
        }
        self.waiting.retain(|waiting| waiting.sent < limit);
        taken
    }
}

/// Returns the number of transmissions of a rumour in a group of `members`.
pub(crate) fn transmissions(factor: u32, members: usize) -> u32 {
    let rounds = usize::BITS - members.leading_zeros();
    factor * rounds.max(1)
}
