//! Implements the store's HTTP API.
//!
//! Lock order: `state`, `calls`, `faults`, `watchers`; no two are held at the
//! same time, and none across an await.

use super::calls::{
    CallCounter,
    CallKind, //
};
use super::faults::Faults;
use super::sessions::Session;
use super::state::{
    Condition,
    InvalidSession,
    Selection,
    State, //
};
use super::wire::{
    EntryForm,
    SessionCreated,
    SessionForm,
    SessionRequest, //
};
use crate::duration::parse_duration;
use crate::http::{
    Call,
    Endpoint,
    Reply,
    json,
    text, //
};
use foxtide_core::store::VALUE_MAX_BYTES;
use http_types::{
    Method,
    Response,
    StatusCode, //
};
use parking_lot::Mutex;
use smol::Timer;
use smol::channel::{
    Receiver,
    Sender,
    bounded, //
};
use smol::future::FutureExt;
use std::net::IpAddr;
use std::time::{
    Duration,
    Instant, //
};

const KV_PATH: &str = "/v1/kv/";
const SESSION_PATH: &str = "/v1/session/";

/// How long a blocking read waits if the caller sets no `wait`.
const WAIT_DEFAULT: Duration = Duration::from_secs(300);

/// The state shared by the server, its connections and its handle.
pub(super) struct StoreEndpoint {
    pub(super) state: Mutex<State>,
    pub(super) calls: Mutex<CallCounter>,
    pub(super) faults: Mutex<Faults>,
    /// The blocking reads to wake at the next change.
    watchers: Mutex<Vec<Sender<()>>>,
    clock_scale: f64,
}

impl StoreEndpoint {
    /// Returns an empty store whose sessions expire `clock_scale` times faster.
    pub(super) fn new(clock_scale: f64, faults: Faults) -> Self {
        Self {
            state: Mutex::default(),
            calls: Mutex::new(CallCounter::new(Instant::now())),
            faults: Mutex::new(faults),
            watchers: Mutex::default(),
            clock_scale,
        }
    }

    /// Wakes every blocking read.
    pub(super) fn wake_all(&self) {
        for watcher in self.watchers.lock().drain(..) {
            watcher.try_send(()).ok();
        }
    }

    fn wait_for_change(&self) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        let mut watchers = self.watchers.lock();
        watchers.retain(|other| !other.is_closed());
        watchers.push(sender);
        receiver
    }

    fn count(&self, kind: CallKind) {
        self.calls.lock().count(kind, Instant::now());
    }

    async fn read(&self, key: String, call: &Call) -> Response {
        let names_only = call.parameter("keys").is_some();
        let selection = match call.parameter("recurse") {
            None if !names_only => Selection::Key(key),
            _ => Selection::Prefix(key),
        };
        let after: u64 = parse_or_zero(call.parameter("index"));
        self.count(if after > 0 {
            CallKind::Watch
        } else {
            CallKind::Read
        });
        let wait = call
            .parameter("wait")
            .and_then(|text| parse_duration(&text));
        if after > 0 {
            let change = self.change_after(&selection, after);
            let disconnected = call.disconnected();
            let wait = wait.unwrap_or(WAIT_DEFAULT);
            change.or(disconnected).or(elapsed(wait)).await;
        }
        if names_only {
            return self.names_now(&selection);
        }
        self.read_now(&selection, call.parameter("raw").is_some())
    }

    async fn change_after(&self, selection: &Selection, after: u64) {
        loop {
            let changed = self.wait_for_change();
            if self.state.lock().index_of(selection) > after {
                return;
            }
            changed.recv().await.ok();
        }
    }

    fn names_now(&self, selection: &Selection) -> Response {
        let state = self.state.lock();
        let entries = state.read(selection);
        let index = state.index_of(selection);
        drop(state);
        let names: Vec<String> = entries.into_iter().map(|entry| entry.key).collect();
        let mut response = match names.is_empty() {
            true => text(StatusCode::NotFound, ""),
            false => json(&names),
        };
        response.insert_header("x-consul-index", index.to_string());
        response
    }

    fn read_now(&self, selection: &Selection, raw: bool) -> Response {
        let state = self.state.lock();
        let entries = state.read(selection);
        let index = state.index_of(selection);
        drop(state);
        let mut response = match entries.first() {
            None => text(StatusCode::NotFound, ""),
            Some(entry) if raw => {
                let mut response = Response::new(StatusCode::Ok);
                response.set_body(entry.value.clone());
                response
            }
            Some(_) => json(&entries.iter().map(EntryForm::from).collect::<Vec<_>>()),
        };
        response.insert_header("x-consul-index", index.to_string());
        response
    }

    fn write(&self, key: &str, call: &Call) -> Response {
        self.count(CallKind::Write);
        if call.body.len() > VALUE_MAX_BYTES {
            return text(StatusCode::PayloadTooLarge, "value too large");
        }
        let condition = condition(call);
        let value = call.body.clone();
        let written = self
            .state
            .lock()
            .write(key, value, &condition, Instant::now());
        self.wake_all();
        match written {
            Ok(written) => json(&written),
            Err(InvalidSession) => text(StatusCode::InternalServerError, "invalid session"),
        }
    }

    fn delete(&self, key: String, call: &Call) -> Response {
        self.count(CallKind::Write);
        let selection = match call.parameter("recurse") {
            Some(_) => Selection::Prefix(key),
            None => Selection::Key(key),
        };
        let expected = call.parameter("cas").map(|text| parse_or_zero(Some(text)));
        let deleted = self.state.lock().delete(&selection, expected);
        self.wake_all();
        json(&deleted)
    }

    fn session(&self, path: &str, call: &Call) -> Response {
        self.count(CallKind::Session);
        let now = Instant::now();
        match path.split_once('/') {
            None if path == "create" => self.open_session(call, now),
            Some(("renew", id)) => match self.state.lock().sessions.renew(id, now) {
                Some(session) => json(&[SessionForm::new(id, &session)]),
                None => text(StatusCode::NotFound, format!("Session id '{id}' not found")),
            },
            Some(("destroy", id)) => {
                self.state.lock().end_session(id, now);
                self.wake_all();
                json(&true)
            }
            _ => not_found(),
        }
    }

    fn open_session(&self, call: &Call, now: Instant) -> Response {
        let request: SessionRequest = match call.body.as_slice() {
            [] => SessionRequest::default(),
            body => match serde_json::from_slice(body) {
                Ok(request) => request,
                Err(error) => return text(StatusCode::BadRequest, error.to_string()),
            },
        };
        let session: Session = match request.session(self.clock_scale, now) {
            Ok(session) => session,
            Err(problem) => return text(StatusCode::BadRequest, problem),
        };
        let id = self.state.lock().sessions.open(session);
        json(&SessionCreated { id })
    }

    async fn respond(&self, call: &Call) -> Response {
        let path = call.request.url().path().to_owned();
        let method = call.request.method();
        self.state.lock().expire_sessions(Instant::now());
        if let Some(key) = path.strip_prefix(KV_PATH) {
            return match method {
                Method::Get => self.read(key.to_owned(), call).await,
                Method::Put => self.write(key, call),
                Method::Delete => self.delete(key.to_owned(), call),
                _ => text(StatusCode::MethodNotAllowed, ""),
            };
        }
        match path.strip_prefix(SESSION_PATH) {
            Some(rest) if method == Method::Put => self.session(rest, call),
            _ => not_found(),
        }
    }
}

impl Endpoint for StoreEndpoint {
    fn accepts(&self, caller: IpAddr, _open_connections: usize) -> bool {
        !self.faults.lock().is_blocked(caller)
    }

    async fn answer(&self, call: Call) -> Reply {
        if self.faults.lock().is_blocked(call.caller.ip()) {
            return Reply::Silence;
        }
        let delay = self.faults.lock().delay;
        Timer::after(delay).await;
        let changes = call.request.method() != Method::Get;
        let response = self.respond(&call).await;
        if changes && self.faults.lock().loses_answer() {
            return Reply::Close;
        }
        Reply::whole(response)
    }
}

fn condition(call: &Call) -> Condition {
    if let Some(session) = call.parameter("acquire") {
        return Condition::Acquire(session);
    }
    if let Some(session) = call.parameter("release") {
        return Condition::Release(session);
    }
    match call.parameter("cas") {
        Some(index) => Condition::Index(parse_or_zero(Some(index))),
        None => Condition::None,
    }
}

fn parse_or_zero(text: Option<String>) -> u64 {
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn not_found() -> Response {
    text(StatusCode::NotFound, "no such page")
}

async fn elapsed(wait: Duration) {
    Timer::after(wait).await;
}
