//! Passes requests on to another instance while this one reaches no upstream.

use super::caller::CallerWatch;
use super::homes::Homes;
use super::passed_on::{
    DECLINED,
    PASSED_ON,
    PassedOn, //
};
use super::request::CallerRequest;
use crate::connect::{
    connect,
    connect_timeout, //
};
use crate::dialect::Dialect;
use crate::lifecycle::{
    STOP_RETRY_AFTER,
    STOPPING_REASON, //
};
use crate::memory::BodyReservation;
use crate::outcome::{
    Refusal,
    Reply,
    RequestTrace,
    is_promise, //
};
use crate::shared::Shared;
use foxtide_core::execution::SendEnd;
use foxtide_core::registry::Member;
use foxtide_core::routing::Route;
use foxtide_http::{
    BufferedStream,
    MessageError,
    WholeResponse,
    read_response_observed, //
};
use futures_lite::future::or;
use smol::Timer;
use std::io;
use std::time::{
    Duration,
    Instant, //
};

/// The most instances that are asked to take one request.
const NEIGHBOURS_MAX: usize = 3;

/// The longest response that is buffered.
const RESPONSE_MAX_BYTES: usize = 16 * 1_024 * 1_024;

/// How long a reply is awaited past the deadline, when that of the other instance arrives.
const DEADLINE_MARGIN: Duration = Duration::from_millis(150);

/// Log reason of a request that no instance takes.
const CUT_OFF_REASON: &str = "upstreams_cut_off";

/// Retry-After of a request that no instance takes: the next probes of the path.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request to pass on.
pub(super) struct PassOn<'a, D> {
    pub(super) shared: &'a Shared<D>,
    pub(super) request: &'a CallerRequest,
    pub(super) route: &'a Route,
    pub(super) homes: &'a Homes,
    pub(super) caller: &'a CallerWatch,
    pub(super) deadline: Instant,
    pub(super) sent_attempts: u32,
    /// The failure of an attempt after which the request may have run.
    pub(super) failure: Option<Reply>,
    /// Whether it was counted, and a token of its organisation's quota taken.
    pub(super) is_counted: bool,
}

/// The instances that a request may be passed on to.
struct Neighbourhood {
    neighbours: Vec<Member>,
    /// Whether there are other instances, of which none could serve the request.
    is_unable: bool,
}

/// How the exchange with another instance failed.
enum ExchangeError {
    /// No byte was sent.
    NotSent,
    /// The other instance has not taken the request.
    Declined,
    /// The request may have run.
    Unknown,
    /// The deadline passed; the request may have run.
    TimedOut,
}

impl<D: Dialect> PassOn<'_, D> {
    /// Returns the reply of the instance that takes the request, or a rejection if none does.
    ///
    /// Returns `None` if no other instance is reachable either: a fault of the own machine looks
    /// the same, so that the request is attempted as usual.
    pub(super) async fn run(mut self, trace: &mut RequestTrace) -> Option<Reply> {
        let Neighbourhood {
            neighbours,
            is_unable,
        } = self.neighbourhood();
        let mut is_rejected = is_unable;
        for neighbour in neighbours {
            if self.caller.is_disconnected() || Instant::now() >= self.deadline {
                break;
            }
            if !self.shared.lifecycle.may_send(self.deadline) {
                trace.reason = STOPPING_REASON;
                let retry_after = STOP_RETRY_AFTER;
                let refused = Refusal::NotRun { retry_after }.into();
                return Some(self.failure.unwrap_or(refused));
            }
            let send = trace.sends.begin(neighbour.instance.as_str());
            let exchanged = self.exchange(&neighbour).await;
            trace.sends.end(send, self.send_end(&exchanged));
            trace.passed_to = neighbour.instance.to_string();
            let end = match &exchanged {
                Ok(_) => "replied",
                Err(ExchangeError::NotSent) => "not_sent",
                Err(ExchangeError::Declined) => "declined",
                Err(ExchangeError::Unknown) => "unknown",
                Err(ExchangeError::TimedOut) => "timed_out",
            };
            metrics::counter!("foxtide_requests_passed_on_total", "end" => end).increment(1);
            match exchanged {
                Ok(response) => {
                    let is_promise = is_promise(response.head.status);
                    if response.head.status >= 400 {
                        trace.reason = "failed_at_neighbour";
                    }
                    let reply = Reply::Response(Box::new(response));
                    // Before it was passed on, the request may have run.
                    return match self.failure {
                        Some(failure) if is_promise => Some(failure),
                        _ => Some(reply),
                    };
                }
                Err(ExchangeError::NotSent) => {
                    self.shared.neighbours.avoid(&neighbour.instance);
                }
                Err(ExchangeError::Declined) => is_rejected = true,
                Err(ExchangeError::TimedOut) => {
                    trace.reason = "time_up_at_neighbour";
                    return Some(Refusal::TimedOut.into());
                }
                Err(ExchangeError::Unknown) => {
                    trace.reason = "neighbour_lost";
                    self.sent_attempts += 1;
                    self.failure = Some(Refusal::Failed.into());
                    if !self.may_repeat() {
                        return self.failure;
                    }
                    is_rejected = true;
                }
            }
        }
        if !is_rejected {
            return None;
        }
        if trace.reason.is_empty() {
            trace.reason = CUT_OFF_REASON;
        }
        let retry_after = RETRY_AFTER.mul_f64(1.0 + fastrand::f64());
        let refused = Refusal::NotRun { retry_after }.into();
        Some(self.failure.unwrap_or(refused))
    }

    /// Returns the instances to ask. Those of the own region come first, in random order, which
    /// spreads the requests.
    fn neighbourhood(&self) -> Neighbourhood {
        let place = &self.shared.options.place;
        let state = self.shared.state.lock();
        let others = || {
            let members = state.members().all();
            members.filter(|member| member.instance != place.instance)
        };
        let is_avoided = |member: &Member| self.shared.neighbours.is_avoided(&member.instance);
        let may_take = |member: &&Member| {
            !member.is_cut_off && self.homes.permit(&member.region) && !is_avoided(member)
        };
        let mut neighbours: Vec<&Member> = others().filter(may_take).collect();
        fastrand::shuffle(&mut neighbours);
        neighbours.sort_by_key(|member| member.region != place.region);
        neighbours.truncate(NEIGHBOURS_MAX);
        let is_any_avoided = others().any(is_avoided);
        Neighbourhood {
            is_unable: neighbours.is_empty() && !is_any_avoided && others().next().is_some(),
            neighbours: neighbours.into_iter().cloned().collect(),
        }
    }

    /// Tells whether a request that may have run may be sent once more.
    fn may_repeat(&self) -> bool {
        let route = self.route;
        route.is_idempotent
            && self.sent_attempts < route.attempts_max
            && route.services.first().is_some_and(|first| {
                let mut state = self.shared.state.lock();
                state.take_retry(&first.service)
            })
    }

    async fn exchange(&self, neighbour: &Member) -> Result<WholeResponse, ExchangeError> {
        if !self.homes.permit(&neighbour.region) {
            let (name, region) = (neighbour.instance.as_str(), &neighbour.region);
            let journal = &self.shared.journal;
            self.homes.report(journal, self.request.id(), name, region);
            return Err(ExchangeError::Declined);
        }
        let timeout = connect_timeout(neighbour.region == self.shared.options.place.region);
        let limit = self.deadline.min(Instant::now() + timeout);
        // The other instance knows this one by its address.
        let own = self.shared.addresses.callers.ip();
        let source = (!own.is_unspecified()).then_some(own);
        let connected = connect(neighbour.caller_address, source, limit).await;
        let mut stream = connected.map_err(|_| ExchangeError::NotSent)?;
        let bytes = self.encode();
        let memory = self.shared.response_memory.reservation();
        let exchanged = exchange(&mut stream, &self.request.head.method, &bytes, memory);
        let late = async {
            Timer::at(self.deadline + DEADLINE_MARGIN).await;
            None
        };
        let ending = async {
            self.shared.lifecycle.ending().await;
            Some(Err(MessageError::Io(io::Error::other(
                "the instance stops",
            ))))
        };
        let exchanged = or(async { Some(exchanged.await) }, or(late, ending)).await;
        match exchanged {
            Some(Ok(response)) => self.read_mark(response),
            Some(Err(_)) if stream.sent_bytes() == 0 => Err(ExchangeError::NotSent),
            Some(Err(_)) => Err(ExchangeError::Unknown),
            None if stream.sent_bytes() == 0 => Err(ExchangeError::NotSent),
            None => Err(ExchangeError::TimedOut),
        }
    }

    /// Returns what the end of an exchange tells about the execution of the request.
    fn send_end(&self, exchanged: &Result<WholeResponse, ExchangeError>) -> SendEnd {
        match exchanged {
            Ok(response) if self.is_refusal(response) => SendEnd::Rejected,
            Ok(response) => SendEnd::Responded {
                status: response.head.status,
            },
            Err(ExchangeError::NotSent) => SendEnd::NotSent,
            Err(ExchangeError::Declined) => SendEnd::Rejected,
            Err(ExchangeError::Unknown | ExchangeError::TimedOut) => SendEnd::Lost,
        }
    }

    /// Tells whether a response is another instance's own promise that the request has not run. One
    /// of an earlier version also passes an upstream's own error on, which is signed.
    fn is_refusal(&self, response: &WholeResponse) -> bool {
        let dialect = &self.shared.dialect;
        is_promise(response.head.status) && !dialect.read_upstream_headers(&response.head).is_signed
    }

    /// Encodes the request as its caller sent it, with the time that is left.
    fn encode(&self) -> Vec<u8> {
        let now = self.shared.clock.now();
        let passed_on = PassedOn {
            sent_attempts: self.sent_attempts,
            waited: now - self.request.received_at,
            version: self.homes.version.max(self.shared.neighbours.version()),
            is_counted: self.is_counted,
        };
        let mut head = self.request.head.clone();
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let dialect = &self.shared.dialect;
        dialect.write_time_left(&mut head.lines, time_left);
        head.lines.set(PASSED_ON, &passed_on.to_string());
        head.encode(&self.request.body)
    }

    /// Removes the other instance's mark from its response.
    fn read_mark(&self, mut response: WholeResponse) -> Result<WholeResponse, ExchangeError> {
        let lines = &mut response.head.lines;
        let mark = lines.text(PASSED_ON).map(str::to_owned);
        lines.remove(PASSED_ON);
        let mark = mark.unwrap_or_default();
        if mark == DECLINED {
            return Err(ExchangeError::Declined);
        }
        if let Ok(version) = mark.parse() {
            self.shared.neighbours.record_version(version);
        }
        Ok(response)
    }
}

/// Writes a request and reads the response. The other instance may respond, and close, before it
/// has read the whole request.
async fn exchange(
    stream: &mut BufferedStream,
    method: &str,
    bytes: &[u8],
    mut memory: BodyReservation,
) -> Result<WholeResponse, MessageError> {
    let written = stream.write_all(bytes).await;
    let reading = read_response_observed(stream, method, RESPONSE_MAX_BYTES, &mut memory, |_| {});
    reading.await.map_err(|error| match written {
        Err(unwritten) => MessageError::Io(unwritten),
        Ok(()) => error,
    })
}
