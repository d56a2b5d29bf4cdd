//! Queue of rumours to piggyback on packets.
//!
//! Each rumour is sent a bounded number of times, which grows with the logarithm of the
//! group's size (SWIM, section 4.1); those sent least are sent first.

use super::message::Rumour;

/// A rumour and the number of its transmissions.
#[derive(Clone, Debug)]
struct QueuedRumour {
    rumour: Rumour,
    sent: u32,
}

/// Rumours that are still to be sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct RumourQueue {
    queued: Vec<QueuedRumour>,
}

impl RumourQueue {
    /// Adds a rumour in place of those that it supersedes.
    pub(crate) fn push(&mut self, rumour: Rumour) {
        self.queued
            .retain(|queued| !rumour.supersedes(&queued.rumour));
        self.queued.push(QueuedRumour { rumour, sent: 0 });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.queued.len()
    }

    /// Returns the rumours for a packet, of at most `bytes_max`, and drops those that
    /// were sent `limit` times.
    pub(crate) fn take(&mut self, bytes_max: usize, limit: u32) -> Vec<Rumour> {
        self.queued.sort_by_key(|queued| queued.sent);
        let mut remaining_bytes = bytes_max;
        let mut taken = Vec::new();
        for queued in &mut self.queued {
            let size_bytes = queued.rumour.size_bound_bytes();
            if size_bytes > remaining_bytes {
                break;
            }
            remaining_bytes -= size_bytes;
            queued.sent += 1;
            taken.push(queued.rumour.clone());
        }
        self.queued.retain(|queued| queued.sent < limit);
        taken
    }
}

/// Returns the number of transmissions of a rumour in a group of `members`.
pub(crate) fn transmission_limit(factor: u32, members: usize) -> u32 {
    let rounds = usize::BITS - members.leading_zeros();
    factor * rounds.max(1)
}
