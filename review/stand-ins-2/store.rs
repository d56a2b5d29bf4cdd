//! A stand-in for the platform's store: keys with revisions, watches, transactions and leases.

use crate::http::{Connection, Message};
use crate::json::{self, Json, quote};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `historyS`: how long changes are kept for watches.
const HISTORY: Duration = Duration::from_secs(20);

/// The most items of one page.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    /// In base64, as a JSON string.
    value: Arc<str>,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

/// A change of one key; `None` if it was removed.
#[derive(Clone)]
struct Change {
    at: Instant,
    rev: u64,
    key: String,
    item: Option<Item>,
}

struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    leases: HashMap<u64, Lease>,
}

/// A running store; clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts an empty store on a free port.
    pub fn start(ip: std::net::IpAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::new((
                Mutex::new(State {
                    rev: 1,
                    items: BTreeMap::new(),
                    history: Vec::new(),
                    forgotten: 0,
                    leases: HashMap::new(),
                }),
                Condvar::new(),
            )),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(Connection::new(stream)));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator or a target does; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let value = quote(&base64(value.as_bytes())).into();
        let mut state = self.shared.0.lock().unwrap();
        state.rev += 1;
        state.write(key, Some(value), 0);
        self.shared.1.notify_all();
    }

    fn expire(&self) {
        let mut state = self.shared.0.lock().unwrap();
        let now = Instant::now();
        state.forget(now);
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at < now)
            .map(|(&id, _)| id)
            .collect();
        for id in &ended {
            state.end_lease(*id);
        }
        if !ended.is_empty() {
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(call)) = connection.message() {
            // A call takes about 4 ms.
            thread::sleep(Duration::from_millis(2));
            let (status, body) = self.answer(&call);
            let head = format!(
                "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\n\
                 content-length: {}\r\n\r\n",
                body.len()
            );
            if connection.send(&[head.as_bytes(), body.as_bytes()].concat()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let path = call.path();
        if path == "/v1/kv-watch" {
            return self.watch(call);
        }
        let mut state = self.shared.0.lock().unwrap();
        let form = json::parse(&call.body).unwrap_or(Json::Null);
        let answer = if path == "/v1/kv-range" {
            state.range(call)
        } else if path == "/v1/kv-key" {
            state.key(&call.query("key").unwrap_or_default())
        } else if path == "/v1/kv-txn" {
            state.transact(&form)
        } else if path == "/v1/kv-lease" {
            state.open_lease(form.get("ttlS_time").number())
        } else if let Some(id) = path.strip_prefix("/v1/kv-keep/") {
            state.keep(id.parse().unwrap_or(0))
        } else if let Some(id) = path.strip_prefix("/v1/kv-lease-end/") {
            if state.end_lease(id.parse().unwrap_or(0)) {
                (200, "{}".to_owned())
            } else {
                (404, "{}".to_owned())
            }
        } else {
            (404, "{}".to_owned())
        };
        self.shared.1.notify_all();
        answer
    }

    fn watch(&self, call: &Message) -> (u16, String) {
        let number = |name: &str| call.query(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let prefix = call.query("pathPrefix").unwrap_or_default();
        let ends_at = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if after > state.rev || after < state.forgotten {
                return (410, "{}".to_owned());
            }
            let newer = state.history.iter().filter(|change| change.rev > after);
            let newer = newer.filter(|change| change.key.starts_with(&prefix));
            let changes: Vec<Change> = newer.cloned().collect();
            let left = ends_at.saturating_duration_since(Instant::now());
            if changes.is_empty() && !left.is_zero() {
                state = self.shared.1.wait_timeout(state, left).unwrap().0;
                continue;
            }
            let rev = state.rev;
            drop(state);
            let events: Vec<String> = changes
                .iter()
                .map(|change| match &change.item {
                    Some(item) => encode(&change.key, item),
                    None => format!(
                        "{{\"key\":{},\"rev\":{},\"removed\":true}}",
                        quote(&change.key),
                        change.rev
                    ),
                })
                .collect();
            let events = events.join(",");
            return (200, format!("{{\"events\":[{events}],\"storeRevision\":{rev}}}"));
        }
    }
}

impl State {
    /// Forgets changes that are older than the history.
    fn forget(&mut self, now: Instant) {
        let is_old = |change: &Change| now - change.at > HISTORY;
        let old = self.history.iter().take_while(|change| is_old(change)).count();
        if let Some(last) = old.checked_sub(1) {
            self.forgotten = self.history[last].rev;
            self.history.drain(..old);
        }
    }

    /// Writes a key at the present revision.
    fn write(&mut self, key: &str, value: Option<Arc<str>>, lease: u64) {
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let rev = self.rev;
        let item = value.map(|value| Item { value, rev, created, lease });
        match &item {
            Some(item) => {
                self.items.insert(key.to_owned(), item.clone());
            }
            None if self.items.remove(key).is_none() => return,
            None => {}
        }
        let key = key.to_owned();
        let at = Instant::now();
        self.history.push(Change { at, rev, key, item });
    }

    fn range(&self, call: &Message) -> (u16, String) {
        let prefix = call.query("pathPrefix").unwrap_or_default();
        let after = call.query("after").unwrap_or_default();
        let within = |key: &&String| key.starts_with(&prefix) && **key > after;
        let keys: Vec<&String> = self.items.keys().filter(within).collect();
        let page = keys.iter().take(PAGE_ITEMS);
        let items: Vec<String> = page.map(|key| encode(key, &self.items[*key])).collect();
        let answer = format!(
            "{{\"items\":[{}],\"hasMore\":{},\"storeRevision\":{}}}",
            items.join(","),
            keys.len() > PAGE_ITEMS,
            self.rev
        );
        (200, answer)
    }

    fn key(&self, key: &str) -> (u16, String) {
        match self.items.get(key) {
            Some(item) => {
                let mut answer = encode(key, item);
                answer.pop();
                answer.push_str(&format!(",\"storeRevision\":{}}}", self.rev));
                (200, answer)
            }
            None => (404, format!("{{\"storeRevision\":{}}}", self.rev)),
        }
    }

    fn transact(&mut self, form: &Json) -> (u16, String) {
        let (puts, deletes) = (form.get("puts").list(), form.get("deletes").list());
        let written = puts.iter().map(|put| put.get("key").text());
        let mut keys = written.chain(deletes.iter().map(Json::text));
        if keys.any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return (403, "{}".to_owned());
        }
        let rev_of = |key: &str| self.items.get(key).map_or(0, |item| item.rev);
        let expected = form.get("expect").list();
        let holds = |row: &Json| rev_of(row.get("key").text()) == row.get("rev").number() as u64;
        if !expected.iter().all(holds) {
            let present = expected.iter().filter_map(|row| {
                let key = row.get("key").text();
                Some(encode(key, self.items.get(key)?))
            });
            let items: Vec<String> = present.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let lease = |put: &Json| put.get("lease").number() as u64;
        let is_open = |put: &Json| lease(put) == 0 || self.leases.contains_key(&lease(put));
        if !puts.iter().all(is_open) {
            return (404, "{}".to_owned());
        }
        self.rev += 1;
        for put in puts {
            let value = quote(put.get("value").text()).into();
            self.write(put.get("key").text(), Some(value), lease(put));
        }
        for key in deletes {
            self.write(key.text(), None, 0);
        }
        (200, format!("{{\"rev\":{}}}", self.rev))
    }

    fn open_lease(&mut self, ttl_s: f64) -> (u16, String) {
        self.rev += 1;
        let ttl_s = ttl_s.clamp(1.0, 600.0);
        let ttl = Duration::from_secs_f64(ttl_s);
        let ends_at = Instant::now() + ttl;
        self.leases.insert(self.rev, Lease { ttl, ends_at });
        (200, format!("{{\"lease\":{},\"ttlS_time\":{ttl_s}}}", self.rev))
    }

    fn keep(&mut self, id: u64) -> (u16, String) {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.ttl;
                (200, "{}".to_owned())
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let bound = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        let was_open = self.leases.remove(&id).is_some();
        if !keys.is_empty() {
            self.rev += 1;
        }
        for key in keys {
            self.write(&key, None, 0);
        }
        was_open
    }
}

fn encode(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"rev\":{},\"createdRev\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.rev,
        item.created,
        item.lease
    )
}

/// Encodes bytes as standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let byte = |index: usize| u32::from(three.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            if place <= three.len() {
                let index = (bits >> (18 - 6 * place)) & 63;
                text.push(char::from(LETTERS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
