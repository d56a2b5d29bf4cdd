//! Whether an instance reaches upstreams at all.
//!
//! An instance judges each upstream by its own attempts. Where connections to several of them
//! fail, it cannot tell from these alone whether the upstreams or its own path has failed: it
//! probes a sample of all upstreams. Only an instance that connects to none of two samples is cut
//! off; one that connects to any is not, whatever else fails.

use crate::ids::UpstreamId;

/// The upstreams that must be unreachable before a sample is probed.
const DOUBTED_UPSTREAMS: usize = 2;

/// The consecutive samples of which no upstream is reached that conclude a cut.
const CONCLUDING_ROUNDS: u32 = 2;

/// The consecutive samples of which an upstream is reached that end a cut.
const RECOVERING_ROUNDS: u32 = 2;

/// A change of an instance's reachability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachabilityChange {
    /// The instance reaches no upstream.
    CutOff,
    /// The instance reaches upstreams again.
    Restored,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Connections succeed, but to these upstreams, with none in between.
    Reaching { unreachable: Vec<UpstreamId> },
    /// No upstream of the samples so far was reached.
    Doubted { rounds: u32 },
    /// No upstream is reached, but in the last samples.
    CutOff { rounds: u32 },
}

impl Default for State {
    fn default() -> Self {
        Self::Reaching {
            unreachable: Vec::new(),
        }
    }
}

/// Concludes from connections whether an instance reaches upstreams.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    state: State,
}

impl Reachability {
    /// Tells whether the instance reaches no upstream.
    pub fn is_cut_off(&self) -> bool {
        matches!(self.state, State::CutOff { .. })
    }

    /// Tells whether samples are to be probed.
    pub fn is_doubted(&self) -> bool {
        matches!(self.state, State::Doubted { .. })
    }

    /// Records a connection of a request to an upstream.
    ///
    /// Does not end a cut: that is for samples, so that one upstream alone does not.
    pub fn record_connected(&mut self) {
        if !self.is_cut_off() {
            self.state = State::default();
        }
    }

    /// Records a failed connection to an upstream; returns whether samples are to be probed since.
    pub fn record_unreachable(&mut self, upstream: &UpstreamId) -> bool {
        let State::Reaching { unreachable } = &mut self.state else {
            return false;
        };
        if !unreachable.contains(upstream) {
            unreachable.push(upstream.clone());
        }
        let is_doubted = unreachable.len() >= DOUBTED_UPSTREAMS;
        if is_doubted {
            self.state = State::Doubted { rounds: 0 };
        }
        is_doubted
    }

    /// Records a probed sample of which `reached` of `probed` upstreams were reached. An empty
    /// sample tells nothing, so that nothing is held against the path.
    pub fn record_sample(&mut self, reached: usize, probed: usize) -> Option<ReachabilityChange> {
        let is_reached = reached > 0 || probed == 0;
        match &mut self.state {
            State::Reaching { .. } => None,
            State::Doubted { .. } if is_reached => {
                self.state = State::default();
                None
            }
            State::Doubted { rounds } => {
                *rounds += 1;
                if *rounds < CONCLUDING_ROUNDS {
                    return None;
                }
                self.state = State::CutOff { rounds: 0 };
                Some(ReachabilityChange::CutOff)
            }
            State::CutOff { rounds } => {
                *rounds = if is_reached { *rounds + 1 } else { 0 };
                if *rounds < RECOVERING_ROUNDS {
                    return None;
                }
                self.state = State::default();
                Some(ReachabilityChange::Restored)
            }
        }
    }
}
