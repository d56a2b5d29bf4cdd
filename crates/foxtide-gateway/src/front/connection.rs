//! The life of one connection.

use super::own::own_answer;
use super::receive::{
    NoRequest,
    receive_body,
    receive_head, //
};
use crate::dialect::Dialect;
use crate::forward::{
    CallerRequest,
    CallerWatch,
    Order,
    forward, //
};
use crate::outcome::{
    Inputs,
    Refusal,
    Reply, //
};
use crate::shared::Shared;
use foxtide_core::routing::{
    CallerLimits,
    RouteTable, //
};
use foxtide_core::time::MonotonicTime;
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
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

/// How long a caller may take to read a reply.
const REPLY_TIME: Duration = Duration::from_secs(20);

/// How much of a refused request is still read, and for how long, so that its
/// sender reads the reply before the connection is reset.
const DISCARD_MAX_BYTES: usize = 256 * 1_024;
const DISCARD_TIME: Duration = Duration::from_millis(500);

/// How long a connection that is made late in a stop is kept open for its first
/// request, which is on its way.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(300);

/// The least time after which a caller is told to come back to an instance that knows
/// nothing yet.
const START_RETRY_AFTER: Duration = Duration::from_millis(250);

/// How long after its start an instance lets requests wait for the configuration, and
/// how long each waits at most; it waits for a third of its time at most, as long as
/// callers wait for a request to be read. Of the callers that come back after all
/// instances have lost power, 67 in half a second were refused for want of one.
const START_TIME: Duration = Duration::from_millis(1_000);
const START_WAIT: Duration = Duration::from_millis(400);

/// What a reply may take beyond the route's timeout.
const REPLY_MARGIN: Duration = Duration::from_millis(200);

/// When a caller that an instance late in its stop refuses is told to come back:
/// it connects to another one.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Whether a connection stays open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Request,
    Close,
}

/// Serves a connection until it closes.
pub(crate) async fn serve_connection<D: Dialect>(shared: Arc<Shared<D>>, stream: BufferedStream) {
    let _open = shared.lifecycle.open_connection();
    let mut connection = Connection {
        shared: &shared,
        stream,
        is_new: true,
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
    /// Whether no request has come on it yet.
    is_new: bool,
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
                Timer::after(FIRST_REQUEST_TIME).await;
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

    /// Closes, unless a request has arrived at this very moment.
    ///
    /// Nothing more is read: a request that crosses the close on its way is then
    /// reset unread, and its caller knows that it did not run.
    async fn close_idle(&mut self) -> Next {
        match self.stream.idle_state() {
            IdleState::Readable => fill(&mut self.stream).await,
            IdleState::Idle => Next::Close,
        }
    }

    async fn serve_one(&mut self) -> Next {
        let limits = self.limits();
        let received = receive_head(&mut self.stream, &limits).await;
        let received_at = self.shared.clock.now();
        let mut head = match received {
            Ok(head) => head,
            Err(reason) => return self.no_request(reason).await,
        };
        if let Some(reply) = own_answer(self.shared, &head) {
            return self.send(&reply, head.close).await;
        }
        let memory = &self.shared.body_memory;
        let (body, memory) = match receive_body(&mut self.stream, &head, &limits, memory).await {
            Ok(received) => received,
            Err(reason) => return self.no_request(reason).await,
        };
        let facts = self.shared.dialect.caller_facts(&head.lines);
        // The caller's wish to close is for its own connection alone.
        let close = std::mem::replace(&mut head.close, false);
        let request = CallerRequest {
            head,
            body,
            _memory: memory,
            facts,
            received_at,
        };
        self.answer(request, close).await
    }

    async fn answer(&mut self, request: CallerRequest, close: bool) -> Next {
        let method = request.head.method.clone();
        let id = request.id().to_owned();
        let received_at = request.received_at;
        let journal = &self.shared.journal;
        let Some((reply, inputs)) = self.reply(request).await else {
            journal.caller_gone(&id);
            return Next::Close;
        };
        let latency = self.shared.clock.now() - received_at;
        journal.request_ended(&inputs, &reply, latency);
        let close = close || self.shared.lifecycle.is_stopping();
        let bytes = reply.encode(&method, close);
        self.send(&bytes, close).await
    }

    /// Returns the reply to a request; nothing where its caller is gone.
    async fn reply(&self, request: CallerRequest) -> Option<(Reply, Inputs)> {
        let Some(routes) = self.await_routes(request.facts.time_left).await else {
            let ready_after = self.shared.state.lock().ready_after();
            let retry_after = ready_after.max(START_RETRY_AFTER);
            let inputs = Inputs::new(request.id(), "no_configuration_yet");
            return Some((Refusal::NotRun { retry_after }.into(), inputs));
        };
        let route = routes.find(&request.head.host, request.head.path());
        let Some(route) = route.cloned() else {
            let inputs = refused(&request, &routes, "no_route");
            return Some((Refusal::NotFound.into(), inputs));
        };
        let caller = match request.identify(&routes, &route) {
            Ok(caller) => caller,
            Err(reason) => {
                let mut inputs = refused(&request, &routes, reason);
                inputs.route.clone_from(&route.name);
                return Some((Refusal::Unauthorised.into(), inputs));
            }
        };
        let order = Order {
            route,
            caller,
            version: routes.version(),
        };
        if !self
            .shared
            .lifecycle
            .has_time_for(order.route.timeout + REPLY_MARGIN)
        {
            let retry_after = STOP_RETRY_AFTER;
            let inputs = Inputs::new(request.id(), "stopping");
            return Some((Refusal::NotRun { retry_after }.into(), inputs));
        }
        let gone = async {
            self.stream.closed_by_peer().await;
            None
        };
        if order.route.is_idempotent {
            // Where the caller is gone its work is dropped.
            let reply = async {
                Some(forward(self.shared, &request, &order, &CallerWatch::default()).await)
            };
            return or(reply, gone).await;
        }
        // Work that cannot be repeated is not broken off, but what has not been sent
        // is not begun for a caller that has left.
        let (present, open): (Sender<()>, _) = bounded(1);
        let mut task = Some(self.spawn_forward(request, order, CallerWatch::new(open)));
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

    /// Returns the routes; a request that comes right after a start waits for the
    /// first reading of the store, which takes 0.1 to 0.25 s.
    async fn await_routes(&self, time_left: Option<Duration>) -> Option<Arc<RouteTable>> {
        let waits_until = self.shared.clock.instant(MonotonicTime::ZERO + START_TIME);
        let patience = time_left.map_or(START_WAIT, |time| START_WAIT.min(time / 3));
        let ends_at = waits_until.min(Instant::now() + patience);
        loop {
            let changed = self.shared.log_changed.listen();
            let routes = self.shared.state.lock().routes();
            if routes.is_some() || Instant::now() >= ends_at {
                return routes;
            }
            let late = async {
                Timer::at(ends_at).await;
            };
            or(changed, late).await;
        }
    }

    fn spawn_forward(
        &self,
        request: CallerRequest,
        order: Order,
        caller: CallerWatch,
    ) -> smol::Task<(Reply, Inputs)> {
        let shared = Arc::clone(self.shared);
        let forwarding = async move { forward(&shared, &request, &order, &caller).await };
        self.shared.executor.spawn(forwarding)
    }

    async fn no_request(&mut self, reason: NoRequest) -> Next {
        let NoRequest::Refused(refusal) = reason else {
            return Next::Close;
        };
        let reply = Reply::from(refusal);
        let inputs = Inputs::new("-", refusal.reason());
        let journal = &self.shared.journal;
        journal.request_ended(&inputs, &reply, Duration::ZERO);
        let bytes = reply.encode("GET", true);
        if self.send(&bytes, false).await == Next::Request {
            self.linger().await;
        }
        Next::Close
    }

    async fn send(&mut self, bytes: &[u8], close: bool) -> Next {
        let late = async {
            Timer::after(REPLY_TIME).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        match or(self.stream.write_all(bytes), late).await {
            Ok(()) if close => {
                self.linger().await;
                Next::Close
            }
            Ok(()) => Next::Request,
            Err(_) => Next::Close,
        }
    }

    /// Ends the sending half and drops what still comes, so that the reply is
    /// read before the connection is reset.
    async fn linger(&mut self) {
        self.stream.shutdown_write();
        let late = async {
            Timer::after(DISCARD_TIME).await;
        };
        or(self.stream.discard(DISCARD_MAX_BYTES), late).await;
    }
}

/// Returns what is known of a request that is refused before it is placed.
fn refused(request: &CallerRequest, routes: &RouteTable, reason: &'static str) -> Inputs {
    let mut inputs = Inputs::new(request.id(), reason);
    inputs.version = routes.version();
    inputs
}

async fn fill(stream: &mut BufferedStream) -> Next {
    match stream.fill().await {
        Ok(size_bytes) if size_bytes > 0 => Next::Request,
        _ => Next::Close,
    }
}
