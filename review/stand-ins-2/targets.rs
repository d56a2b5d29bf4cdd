//! Stand-ins for the targets: they register in the store and answer as the pages say.

use crate::http::{Connection, Message};
use crate::json::quote;
use crate::record::Record;
use crate::store::Store;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How often a target writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// How long an idle connection stays open.
const KEEP_ALIVE_S: u64 = 10;

/// What distinguishes a target.
#[derive(Clone)]
pub struct Terms {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub ip: IpAddr,
    /// The requests that it works on at a time.
    pub slots: u32,
    pub work: Duration,
    /// The size of its answers.
    pub answer_bytes: usize,
}

/// A running target.
#[derive(Clone)]
pub struct Target {
    terms: Terms,
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    store: Store,
    record: Record,
    busy: Mutex<u32>,
    freed: Condvar,
    runs: AtomicU64,
    sequence: AtomicU64,
}

impl Target {
    /// Starts a target and registers it.
    pub fn start(terms: Terms, store: &Store, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind((terms.ip, 0))?;
        let target = Self {
            address: listener.local_addr()?,
            terms,
            shared: Arc::new(Shared {
                store: store.clone(),
                record: record.clone(),
                busy: Mutex::new(0),
                freed: Condvar::new(),
                runs: AtomicU64::new(0),
                sequence: AtomicU64::new(0),
            }),
        };
        target.register();
        let beating = target.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.register();
            }
        });
        let accepting = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(Connection::new(stream)));
            }
        });
        Ok(target)
    }

    fn register(&self) {
        let Terms { id, service, zone, slots, .. } = &self.terms;
        let sequence = self.shared.sequence.fetch_add(1, Ordering::SeqCst);
        let entry = format!(
            "{{\"address\":{},\"info\":{{\"service\":{},\"zone\":{},\"capacity\":{slots},\
             \"configVersion\":\"r1\"}},\"status\":{{\"state\":\"ready\",\
             \"coldRemainingS\":0.0,\"sequence\":{sequence}}}}}",
            quote(&self.address.to_string()),
            quote(service),
            quote(zone),
        );
        self.shared.store.put(&format!("servers/{id}"), &entry);
    }

    fn serve(&self, mut connection: Connection) {
        let idle = Duration::from_secs(KEEP_ALIVE_S);
        loop {
            let _ = connection.stream.set_read_timeout(Some(idle));
            let Ok(Some(request)) = connection.message() else {
                return;
            };
            let answer = self.answer(&request);
            let is_served = connection.send(&answer).is_ok();
            if !is_served {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let Some(id) = request.header("X-Request-Id") else {
            return reply(400, "-", "X-Not-Executed: 1\r\n", b"");
        };
        if request.header("X-Expected-Instance").is_some_and(|it| it != self.terms.id) {
            return reply(421, id, "X-Not-Executed: 1\r\n", b"");
        }
        let time_limit = request.header("X-Request-Deadline");
        let time_limit = time_limit.and_then(|text| text.parse().ok()).unwrap_or(60_000);
        let ends_at = Instant::now() + Duration::from_millis(time_limit);
        if !self.take_slot(ends_at) {
            return reply(503, id, "X-Not-Executed: 1\r\n", b"");
        }
        let Shared { record, runs, .. } = &*self.shared;
        let number = runs.fetch_add(1, Ordering::SeqCst);
        record.note(format!(
            "run {id} {} at {} of {}",
            request.first, self.terms.id, self.terms.service
        ));
        thread::sleep(self.terms.work);
        self.free_slot();
        let body = body_of(id, self.terms.answer_bytes);
        let signature = format!("X-Response-Signature: {}.{number}\r\n", self.terms.id);
        reply(200, id, &signature, &body)
    }

    fn take_slot(&self, ends_at: Instant) -> bool {
        let mut busy = self.shared.busy.lock().unwrap();
        while *busy >= self.terms.slots {
            let left = ends_at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            busy = self.shared.freed.wait_timeout(busy, left).unwrap().0;
        }
        *busy += 1;
        true
    }

    fn free_slot(&self) {
        *self.shared.busy.lock().unwrap() -= 1;
        self.shared.freed.notify_one();
    }
}

/// Returns the body that belongs to a request.
pub fn body_of(id: &str, size: usize) -> Vec<u8> {
    id.bytes().cycle().take(size).collect()
}

fn reply(status: u16, id: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} -\r\nX-Request-Id: {id}\r\nKeep-Alive: timeout={KEEP_ALIVE_S}\r\n\
         {headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
