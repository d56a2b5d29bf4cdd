//! A sound platform store: linearizable, loses nothing, keeps its whole history.

use crate::http::{Connection, Message, response};
use crate::json::{self, Value, from_base64, quote, to_base64};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    rev: u64,
    created_rev: u64,
    lease: u64,
}

struct Event {
    key: String,
    rev: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl State {
    fn put(&mut self, rev: u64, key: &str, value: Vec<u8>, lease: u64) {
        let created_rev = self.items.get(key).map_or(rev, |item| item.created_rev);
        let item = Item {
            value,
            rev,
            created_rev,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Event {
            key: key.to_owned(),
            rev,
            item: Some(item),
        });
    }

    fn remove(&mut self, rev: u64, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push(Event {
                key: key.to_owned(),
                rev,
                item: None,
            });
        }
    }

    fn expire(&mut self, now: Instant) {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, ends_at))| *ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let existed = self.leases.remove(&id).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| id != 0 && item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            for key in keys {
                self.remove(self.revision, &key);
            }
        }
        existed
    }
}

impl Store {
    pub fn start(ip: std::net::IpAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let state = State {
            revision: 1,
            next_lease: 1_000,
            ..State::default()
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address,
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(25));
                expiring.change(|state| state.expire(Instant::now()));
            }
        });
        Ok(store)
    }

    fn change<T>(&self, apply: impl FnOnce(&mut State) -> T) -> T {
        let (state, changed) = &*self.state;
        let result = apply(&mut state.lock().unwrap());
        changed.notify_all();
        result
    }

    /// Writes a key as the operator or a target does.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|state| {
            state.revision += 1;
            let rev = state.revision;
            state.put(rev, key, value.as_bytes().to_vec(), 0);
        });
    }

    /// The keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        state
            .items
            .keys()
            .filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read(false) {
            let (status, body) = self.answer(&request);
            let bytes = response(status, "Content-Type: application/json\r\n", body.as_bytes());
            if connection.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let path = request.path().to_owned();
        match (request.method(), path.as_str()) {
            ("GET", "/v1/kv-key") => self.one(request),
            ("GET", "/v1/kv-range") => self.range(request),
            ("GET", "/v1/kv-watch") => self.watch(request),
            ("POST", "/v1/kv-txn") => self.transaction(request),
            ("POST", "/v1/kv-lease") => self.lease(request),
            ("POST", path) if path.starts_with("/v1/kv-keep/") => self.keep(path),
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => self.end(path),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn one(&self, request: &Message) -> (&'static str, String) {
        let key = request.parameter("key").unwrap_or_default();
        let state = self.state.0.lock().unwrap();
        match state.items.get(&key) {
            Some(item) => {
                let fields = item_fields(&key, item);
                (
                    "200 OK",
                    format!("{{{fields},\"storeRevision\":{}}}", state.revision),
                )
            }
            None => (
                "404 Not Found",
                format!("{{\"storeRevision\":{}}}", state.revision),
            ),
        }
    }

    fn range(&self, request: &Message) -> (&'static str, String) {
        let prefix = request.parameter("pathPrefix").unwrap_or_default();
        let after = request.parameter("after").unwrap_or_default();
        let state = self.state.0.lock().unwrap();
        let mut items = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || **key > after));
        let page: Vec<String> = items
            .by_ref()
            .take(500)
            .map(|(key, item)| format!("{{{}}}", item_fields(key, item)))
            .collect();
        let has_more = items.next().is_some();
        let body = format!(
            "{{\"items\":[{}],\"hasMore\":{has_more},\"storeRevision\":{}}}",
            page.join(","),
            state.revision
        );
        ("200 OK", body)
    }

    fn watch(&self, request: &Message) -> (&'static str, String) {
        let prefix = request.parameter("pathPrefix").unwrap_or_default();
        let number = |name| {
            request
                .parameter(name)
                .and_then(|text: String| text.parse::<u64>().ok())
        };
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|event| event.rev > after && event.key.starts_with(&prefix))
                .map(|event| match &event.item {
                    Some(item) => format!("{{{}}}", item_fields(&event.key, item)),
                    None => format!(
                        "{{\"key\":{},\"rev\":{},\"removed\":true}}",
                        quote(&event.key),
                        event.rev
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"storeRevision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return ("200 OK", body);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transaction(&self, request: &Message) -> (&'static str, String) {
        let Some(body) = json::parse(&request.body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        self.change(|state| {
            let current = |key: &str| state.items.get(key).map_or(0, |item| item.rev);
            let expected = body.list("expect");
            let holds = expected.iter().all(|row| {
                let rev = row.number("rev").unwrap_or(0.0) as u64;
                row.text("key").is_some_and(|key| current(key) == rev)
            });
            if !holds {
                let rows: Vec<String> = expected
                    .iter()
                    .filter_map(|row| row.text("key"))
                    .filter_map(|key| Some((key, state.items.get(key)?)))
                    .map(|(key, item)| format!("{{{}}}", item_fields(key, item)))
                    .collect();
                return (
                    "412 Precondition Failed",
                    format!("{{\"items\":[{}]}}", rows.join(",")),
                );
            }
            let keys = body.list("puts").iter().filter_map(|put| put.text("key"));
            let deleted = body.list("deletes").iter().filter_map(|key| match key {
                Value::Text(key) => Some(key.as_str()),
                _ => None,
            });
            if keys
                .chain(deleted)
                .any(|key| key.starts_with("op/") || key.starts_with("servers/"))
            {
                return ("403 Forbidden", "{}".to_owned());
            }
            let lease_of = |put: &Value| put.number("lease").unwrap_or(0.0) as u64;
            let known = |lease: u64| lease == 0 || state.leases.contains_key(&lease);
            if !body.list("puts").iter().all(|put| known(lease_of(put))) {
                return ("404 Not Found", "{}".to_owned());
            }
            state.revision += 1;
            let rev = state.revision;
            for put in body.list("puts") {
                let value = put.text("value").and_then(from_base64).unwrap_or_default();
                state.put(rev, put.text("key").unwrap_or_default(), value, lease_of(put));
            }
            for key in body.list("deletes") {
                if let Value::Text(key) = key {
                    state.remove(rev, key);
                }
            }
            ("200 OK", format!("{{\"rev\":{rev}}}"))
        })
    }

    fn lease(&self, request: &Message) -> (&'static str, String) {
        let body = json::parse(&request.body);
        let ttl_s = body
            .and_then(|body| body.number("ttlS_time"))
            .unwrap_or(1.0)
            .clamp(1.0, 600.0);
        self.change(|state| {
            state.next_lease += 1;
            let (id, ttl) = (state.next_lease, Duration::from_secs_f64(ttl_s));
            state.leases.insert(id, (ttl, Instant::now() + ttl));
            ("200 OK", format!("{{\"lease\":{id},\"ttlS_time\":{ttl_s}}}"))
        })
    }

    fn keep(&self, path: &str) -> (&'static str, String) {
        let id = path
            .rsplit('/')
            .next()
            .and_then(|id| id.parse::<u64>().ok())
            .unwrap_or(0);
        self.change(|state| match state.leases.get_mut(&id) {
            Some((ttl, ends_at)) => {
                *ends_at = Instant::now() + *ttl;
                ("200 OK", format!("{{\"ttlS_time\":{}}}", ttl.as_secs_f64()))
            }
            None => ("404 Not Found", "{}".to_owned()),
        })
    }

    fn end(&self, path: &str) -> (&'static str, String) {
        let id = path
            .rsplit('/')
            .next()
            .and_then(|id| id.parse::<u64>().ok())
            .unwrap_or(0);
        match self.change(|state| state.end_lease(id)) {
            true => ("200 OK", "{}".to_owned()),
            false => ("404 Not Found", "{}".to_owned()),
        }
    }
}

fn item_fields(key: &str, item: &Item) -> String {
    format!(
        "\"key\":{},\"value\":\"{}\",\"rev\":{},\"createdRev\":{},\"lease\":{}",
        quote(key),
        to_base64(&item.value),
        item.rev,
        item.created_rev,
        item.lease
    )
}
