//! Serves the connection of a caller.

use super::local::answer_locally;
use super::receive::{
    ReceiveError,
    receive_body,
    receive_head, //
};
use super::write::ReplyWriter;
use crate::dialect::Dialect;
use crate::forward::{
    CallerRequest,
    CallerWatch,
    DECLINED,
    LINE_MAX_BYTES,
    PASSED_ON,
    PassedOn,
    RouteMatch,
    forward, //
};
use crate::lifecycle::{
    Lifecycle,
    STOP_RETRY_AFTER,
    STOPPING_REASON, //
};
use crate::outcome::{
    Refusal,
    Reply,
    RequestTrace, //
};
use crate::shared::Shared;
use foxtide_core::routing::{
    CallerLimits,
    RouteTable, //
};
use foxtide_core::time::MonotonicTime;
use foxtide_core::units::ByteSize;
use foxtide_http::{
    BufferedStream,
    IdleState, //
};
use futures_lite::future::or;
use smol::Timer;
use smol::channel::{
    Sender,
    bounded, //
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

/// Limits of reading the rest of a refused request, so that its sender reads the reply before
/// the connection is reset.
const DISCARD_MAX_BYTES: usize = 256 * 1_024;
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a new connection stays open for its first request while the instance stops.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// The shortest Retry-After of an instance without a configuration.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(250);

/// How long after its start an instance lets requests wait for the configuration, and how long each
/// waits at most. A request waits for a third of its time at most, as long as callers wait for it
/// to be read.
const STARTUP_PERIOD: Duration = Duration::from_millis(1_000);
const STARTUP_WAIT_MAX: Duration = Duration::from_millis(400);

/// How long a request that another instance passes on waits for its configuration.
const NEWER_VERSION_WAIT: Duration = Duration::from_millis(200);

/// What a connection does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Request,
    Close,
}

/// Serves a connection that was accepted at an address of the instance until it closes.
pub(crate) async fn serve_connection<D: Dialect>(
    shared: Arc<Shared<D>>,
    stream: BufferedStream,
    accepted_at: SocketAddr,
) {
    let _open = shared.lifecycle.open_connection();
    let is_from_instance = is_from_instance(&shared, &stream);
    let mut connection = Connection {
        shared: &shared,
        stream,
        accepted_at,
        is_new: true,
        is_from_instance,
    };
    while connection.await_request().await == Next::Request {
        if Box::pin(connection.serve_one()).await == Next::Close {
            return;
        }
    }
}

struct Connection<'a, D> {
    shared: &'a Arc<Shared<D>>,
    stream: BufferedStream,
    /// The address of the instance that accepted it.
    accepted_at: SocketAddr,
    /// Whether no request has arrived on it yet.
    is_new: bool,
    /// Whether it comes from the machine of another instance.
    is_from_instance: bool,
}

impl<D: Dialect> Connection<'_, D> {
    fn limits(&self) -> CallerLimits {
        let routes = self.shared.state.lock().routes();
        routes.map_or_else(CallerLimits::default, |routes| routes.limits())
    }

    /// Waits for the first byte of a request.
    async fn await_request(&mut self) -> Next {
        if !self.stream.buffered().is_empty() {
            return Next::Request;
        }
        let idle_time = self.limits().idle_time;
        let is_new = std::mem::replace(&mut self.is_new, false);
        let lifecycle = &self.shared.lifecycle;
        let arrived = fill(&mut self.stream);
        let stopping = async {
            lifecycle.closing_idle().await;
            if is_new {
                Timer::after(FIRST_REQUEST_TIMEOUT).await;
            }
        };
        let closing = async {
            or(stopping, async {
                Timer::after(idle_time).await;
            })
            .await;
            None
        };
        match or(async { Some(arrived.await) }, closing).await {
            Some(next) => next,
            None => self.close_idle().await,
        }
    }

    /// Closes the connection, unless request bytes have just arrived.
    ///
    /// Nothing more is read: a request that crosses the close is reset unread, so that its
    /// caller knows that it did not run.
    async fn close_idle(&mut self) -> Next {
        match self.stream.idle_state() {
            IdleState::Readable => fill(&mut self.stream).await,
            IdleState::Idle => Next::Close,
        }
    }

    async fn serve_one(&mut self) -> Next {
        let limits = self.limits();
        let is_peer = self.is_from_instance;
        let mut head_limits = limits;
        if is_peer {
            let limit_bytes = limits.head.get().saturating_add(LINE_MAX_BYTES);
            head_limits.head = ByteSize::from_bytes(limit_bytes);
        }
        let lifecycle = &self.shared.lifecycle;
        let receiving = receive_head(&mut self.stream, &head_limits);
        let received = or(receiving, refuse_at_end(lifecycle)).await;
        let received_at = self.shared.clock.now();
        let mut head = match received {
            Ok(head) => head,
            Err(reason) => return self.reject(reason, None).await,
        };
        if let Some(reply) = answer_locally(self.shared, self.accepted_at, &head) {
            return self.send(&reply, head.close).await;
        }
        // Anyone may write the line; only the word of other instances counts.
        let passed_on = head.lines.text(PASSED_ON).filter(|_| is_peer);
        let passed_on: Option<PassedOn> = passed_on.and_then(|text| text.parse().ok());
        head.lines.remove(PASSED_ON);
        if let Some(passed_on) = passed_on
            && !self.takes_over(passed_on).await
        {
            return self.decline().await;
        }
        let headers = self.shared.dialect.read_caller_headers(&head.lines);
        let memory = &self.shared.body_memory;
        let receiving = receive_body(&mut self.stream, &head, &limits, memory);
        let received = or(receiving, refuse_at_end(&self.shared.lifecycle)).await;
        let (body, memory) = match received {
            Ok(received) => received,
            Err(reason) => return self.reject(reason, headers.request_id.as_deref()).await,
        };
        // `connection: close` concerns the connection of the caller alone.
        let close = std::mem::replace(&mut head.close, false);
        let request = CallerRequest {
            head,
            body,
            _memory: memory,
            headers,
            passed_on,
            received_at,
        };
        self.answer(request, close).await
    }

    async fn answer(&mut self, request: CallerRequest, close: bool) -> Next {
        let method = request.head.method.clone();
        let id = request.id().to_owned();
        let received_at = request.received_at;
        let is_taken_over = request.passed_on.is_some();
        let journal = &self.shared.journal;
        let Some((mut reply, trace)) = self.reply(request).await else {
            journal.caller_gone(&id);
            return Next::Close;
        };
        let latency = self.shared.clock.now() - received_at;
        journal.request_ended(&trace, &reply, latency);
        let close = close || self.shared.lifecycle.is_stopping();
        let mut line = String::new();
        if is_taken_over {
            metrics::counter!("foxtide_requests_taken_over_total").increment(1);
            reply.remove_lines(PASSED_ON);
            let routes = self.shared.state.lock().routes();
            let version = routes.map_or(0, |routes| routes.version());
            line = format!("{PASSED_ON}: {version}\r\n");
        }
        let (bytes, body) = (reply.encode_with(&method, close, &line), reply.body_size());
        // The body is held once while it waits for the link and the caller.
        drop(reply);
        self.send_reply(&bytes, body, close).await
    }

    /// Tells whether this instance takes a request that another one passes on: it reaches
    /// upstreams, and its configuration is as new as the other's.
    async fn takes_over(&self, passed_on: PassedOn) -> bool {
        let deadline = Instant::now() + NEWER_VERSION_WAIT;
        loop {
            let changed = self.shared.log_changed.listen();
            if self.shared.reach.is_cut_off() || self.shared.lifecycle.is_stopping() {
                return false;
            }
            let routes = self.shared.state.lock().routes();
            if routes.is_some_and(|routes| routes.version() >= passed_on.version) {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            let late = async {
                Timer::at(deadline).await;
            };
            or(changed, late).await;
        }
    }

    /// Replies that this instance does not take a request that another one passes on, before its
    /// body is read.
    async fn decline(&mut self) -> Next {
        let retry_after = STOP_RETRY_AFTER;
        let reply = Reply::from(Refusal::NotRun { retry_after });
        let line = format!("{PASSED_ON}: {DECLINED}\r\n");
        let bytes = reply.encode_with("GET", true, &line);
        self.send(&bytes, true).await
    }

    /// Returns the reply to a request; `None` if its caller has disconnected.
    async fn reply(&self, request: CallerRequest) -> Option<(Reply, RequestTrace)> {
        let Some(routes) = self.await_routes(request.headers.time_left).await else {
            let ready_after = self.shared.state.lock().ready_after();
            let retry_after = ready_after.max(STARTUP_RETRY_AFTER);
            let trace = RequestTrace::new(request.id(), "no_configuration_yet");
            return Some((Refusal::NotRun { retry_after }.into(), trace));
        };
        let route = routes.find(&request.head.host, request.head.path());
        let Some(route) = route.cloned() else {
            let trace = refused(&request, &routes, "no_route");
            return Some((Refusal::NotFound.into(), trace));
        };
        let caller = match request.identify(&routes, &route) {
            Ok(caller) => caller,
            Err(reason) => {
                let mut trace = refused(&request, &routes, reason);
                trace.route.clone_from(&route.name);
                return Some((Refusal::Unauthorised.into(), trace));
            }
        };
        let route_match = RouteMatch {
            route,
            caller,
            version: routes.version(),
        };
        let clock = &self.shared.clock;
        let latest_deadline = clock.instant(clock.now() + route_match.route.timeout);
        if !self.shared.lifecycle.may_send(latest_deadline) {
            let retry_after = STOP_RETRY_AFTER;
            let trace = RequestTrace::new(request.id(), STOPPING_REASON);
            return Some((Refusal::NotRun { retry_after }.into(), trace));
        }
        let gone = async {
            self.stream.closed_by_peer().await;
            None
        };
        if route_match.route.is_idempotent {
            // A disconnect cancels the work.
            let reply = async {
                Some(forward(self.shared, &request, &route_match, &CallerWatch::default()).await)
            };
            return or(reply, gone).await;
        }
        // Non-idempotent work is not cancelled by a disconnect, but no new attempt is begun.
        let (present, open): (Sender<()>, _) = bounded(1);
        let mut task = Some(self.spawn_forward(request, route_match, CallerWatch::new(open)));
        let reply = async {
            match task.as_mut() {
                Some(task) => Some(task.await),
                None => None,
            }
        };
        let reply = or(reply, gone).await;
        if reply.is_none()
            && let Some(task) = task
        {
            task.detach();
        }
        drop(present);
        reply
    }

    /// Returns the routes. A request right after the start waits for the first read of the
    /// store.
    async fn await_routes(&self, time_left: Option<Duration>) -> Option<Arc<RouteTable>> {
        let waits_until = self
            .shared
            .clock
            .instant(MonotonicTime::ZERO + STARTUP_PERIOD);
        let patience = time_left.map_or(STARTUP_WAIT_MAX, |time| STARTUP_WAIT_MAX.min(time / 3));
        let deadline = waits_until.min(Instant::now() + patience);
        loop {
            let changed = self.shared.log_changed.listen();
            let routes = self.shared.state.lock().routes();
            if routes.is_some() || Instant::now() >= deadline {
                return routes;
            }
            let late = async {
                Timer::at(deadline).await;
            };
            or(changed, late).await;
        }
    }

    fn spawn_forward(
        &self,
        request: CallerRequest,
        route_match: RouteMatch,
        caller: CallerWatch,
    ) -> smol::Task<(Reply, RequestTrace)> {
        let shared = Arc::clone(self.shared);
        let forwarding = async move { forward(&shared, &request, &route_match, &caller).await };
        self.shared.executor.spawn(forwarding)
    }

    /// Replies to a request that was not received whole, whose identity may be known.
    async fn reject(&mut self, reason: ReceiveError, request_id: Option<&str>) -> Next {
        let ReceiveError::Refused(refusal) = reason else {
            return Next::Close;
        };
        let reply = Reply::from(refusal);
        let trace = RequestTrace::new(request_id.unwrap_or("-"), refusal.reason());
        let journal = &self.shared.journal;
        journal.request_ended(&trace, &reply, Duration::ZERO);
        let bytes = reply.encode("GET", true);
        if self.send(&bytes, false).await == Next::Request {
            self.linger().await;
        }
        Next::Close
    }

    /// Sends a reply without a body, or with a small one.
    async fn send(&mut self, bytes: &[u8], close: bool) -> Next {
        self.send_reply(bytes, ByteSize::default(), close).await
    }

    async fn send_reply(&mut self, bytes: &[u8], body: ByteSize, close: bool) -> Next {
        self.shared.guide.meter.count_sent(bytes.len());
        let mut writer = ReplyWriter {
            stream: &mut self.stream,
            link: &self.shared.link,
            lifecycle: &self.shared.lifecycle,
        };
        match writer.write(bytes, body).await {
            Ok(()) if close => {
                self.linger().await;
                Next::Close
            }
            Ok(()) => Next::Request,
            Err(_) => Next::Close,
        }
    }

    /// Shuts down the sending half and discards received data, so that the reply is read before
    /// the connection is reset.
    async fn linger(&mut self) {
        self.stream.shutdown_write();
        let late = async {
            Timer::after(DISCARD_TIMEOUT).await;
        };
        or(self.stream.discard(DISCARD_MAX_BYTES), late).await;
    }
}

fn is_from_instance<D>(shared: &Shared<D>, stream: &BufferedStream) -> bool {
    let Ok(address) = stream.peer_address() else {
        return false;
    };
    let state = shared.state.lock();
    let mut members = state.members().all();
    members.any(|member| member.caller_address.ip() == address.ip())
}

/// Refuses a request that has not arrived in full when the process ends.
async fn refuse_at_end<T>(lifecycle: &Lifecycle) -> Result<T, ReceiveError> {
    lifecycle.ending().await;
    let retry_after = STOP_RETRY_AFTER;
    Err(ReceiveError::Refused(Refusal::NotRun { retry_after }))
}

/// Returns the trace of a request that is refused before it is forwarded.
fn refused(request: &CallerRequest, routes: &RouteTable, reason: &'static str) -> RequestTrace {
    let mut trace = RequestTrace::new(request.id(), reason);
    trace.version = routes.version();
    trace
}

async fn fill(stream: &mut BufferedStream) -> Next {
    match stream.fill().await {
        Ok(size_bytes) if size_bytes > 0 => Next::Request,
        _ => Next::Close,
    }
}
