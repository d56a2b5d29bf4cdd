//! Targets: servers that run a bounded number of requests at a time, queue a few more, and turn
//! the rest away, as the page PROTOCOL tells.

use crate::http::{Connection, Message, response};
use crate::record::Record;
use crate::store::Store;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// What a target does beside the usual.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Options {
    pub slots: usize,
    /// How many requests wait beyond the slots.
    pub queue: usize,
    /// The work of a request whose path names none.
    pub work_ms: u64,
    /// Of each so many answers, one is followed by a second copy of itself, which arrives late:
    /// where the next answer on its connection is expected. 0 for none.
    pub second_answer_each: u64,
    /// The share of the requests that it turns away although it has room, in percent.
    pub shed_percent: u64,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
    asked: u64,
    answers: u64,
    rejections: u64,
    second_answers: u64,
}

/// What targets have run: how often each request id began to run.
#[derive(Clone, Default)]
pub struct Runs {
    counts: Arc<Mutex<HashMap<String, u32>>>,
    /// When each request first arrived at a target.
    arrivals: Arc<Mutex<HashMap<String, u64>>>,
}

impl Runs {
    pub fn count(&self, id: &str) -> u32 {
        self.counts.lock().unwrap().get(id).copied().unwrap_or(0)
    }

    /// Tells whether a request had arrived at a target by then, to run, to wait or to be rejected.
    pub fn offered(&self, id: &str, by_ms: u64) -> bool {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.get(id).is_some_and(|at_ms| *at_ms <= by_ms)
    }

    fn arrive(&self, id: &str, at_ms: u64) {
        self.arrivals
            .lock()
            .unwrap()
            .entry(id.to_owned())
            .or_insert(at_ms);
    }

    fn begin(&self, id: &str) -> u32 {
        let mut counts = self.counts.lock().unwrap();
        let count = counts.entry(id.to_owned()).or_default();
        *count += 1;
        *count
    }
}

#[derive(Clone)]
pub struct Target {
    pub id: String,
    pub service: String,
    pub zone: &'static str,
    pub address: SocketAddr,
    options: Arc<Mutex<Options>>,
    load: Arc<(Mutex<Load>, Condvar)>,
    runs: Runs,
    record: Record,
}

pub struct Totals {
    pub answers: u64,
    pub rejections: u64,
    pub second_answers: u64,
}

impl Target {
    pub fn start(
        id: &str,
        service: &str,
        zone: &'static str,
        ip: IpAddr,
        options: Options,
        runs: &Runs,
        record: &Record,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|error| format!("target: {error}"))?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let target = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone,
            address,
            options: Arc::new(Mutex::new(options)),
            load: Arc::default(),
            runs: runs.clone(),
            record: record.clone(),
        };
        let serving = target.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = serving.clone();
                std::thread::spawn(move || target.serve(stream));
            }
        });
        Ok(target)
    }

    pub fn options(&self) -> Options {
        *self.options.lock().unwrap()
    }

    pub fn set_options(&self, change: impl FnOnce(&mut Options)) {
        change(&mut self.options.lock().unwrap());
    }

    pub fn totals(&self) -> Totals {
        let load = self.load.0.lock().unwrap();
        Totals {
            answers: load.answers,
            rejections: load.rejections,
            second_answers: load.second_answers,
        }
    }

    /// Writes the entry of the target, as it does itself.
    pub fn register(&self, store: &Store, state: &str) {
        let entry = format!(
            "{{\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"configVersion\":\"v1\",\"zone\":\"{}\",\"capacity\":{}}},\
             \"status\":{{\"state\":\"{state}\",\"sequence\":1,\"coldRemainingS\":0}}}}",
            self.address,
            self.service,
            self.zone,
            self.options().slots
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    fn line(&self, text: &str) {
        self.record.line(&format!("target {}: {text}", self.id));
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        // A second answer that has not been sent yet.
        let mut late: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = connection.read(false) {
            if let Some(second) = late.take() {
                self.line("sends the second answer now, where the next one is expected");
                if connection.write(&second).is_err() {
                    return;
                }
            }
            let bytes = self.answer(&request);
            if connection.write(&bytes).is_err() {
                return;
            }
            let each = self.options().second_answer_each;
            let mut load = self.load.0.lock().unwrap();
            load.answers += 1;
            if each > 0 && load.answers % each == 0 {
                load.second_answers += 1;
                late = Some(bytes);
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let id = request.header("X-Request-Id").unwrap_or("-").to_owned();
        if request.path() == "/health" {
            return response("200 OK", &format!("X-Instance-Id: {}\r\n", self.id), b"");
        }
        let echo = format!("X-Request-Id: {id}\r\n");
        if request
            .header("X-Expected-Instance")
            .is_some_and(|expected| expected != self.id)
        {
            return response("421 Misdirected Request", &echo, b"");
        }
        self.runs.arrive(&id, self.record.now_ms());
        let deadline_ms = request
            .header("X-Request-Deadline")
            .and_then(|text| text.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(deadline_ms.unwrap_or(60_000));
        if self.sheds() || !self.begin(deadline) {
            self.line(&format!("rejects {id}: full or too late (X-Not-Executed)"));
            let lines = format!("{echo}X-Not-Executed: 1\r\n{}", self.load_line());
            return response("503 Service Unavailable", &lines, b"");
        }
        let count = self.runs.begin(&id);
        self.line(&format!(
            "runs {id} (run {count}) {} {}",
            request.method(),
            request.target()
        ));
        let work_ms = work_of(request.path()).unwrap_or(self.options().work_ms);
        let work = Duration::from_millis(work_ms);
        std::thread::sleep(work.min(deadline.saturating_duration_since(Instant::now())));
        self.end();
        let lines = format!("{echo}{}", self.load_line());
        if Instant::now() >= deadline {
            return response(
                "504 Gateway Timeout",
                &format!("{lines}X-Response-Signature: {}.{id}.504\r\n", self.id),
                b"",
            );
        }
        let body = format!("answer to {id} by {}", self.id);
        response(
            "200 OK",
            &format!("{lines}X-Response-Signature: {}.{id}.200\r\n", self.id),
            body.as_bytes(),
        )
    }

    fn load_line(&self) -> String {
        let load = self.load.0.lock().unwrap();
        format!(
            "X-Server-Load: {},{},{}\r\n",
            load.running,
            load.waiting,
            self.options().slots
        )
    }

    /// Tells whether the target turns the next request away, in even steps.
    fn sheds(&self) -> bool {
        let percent = self.options().shed_percent;
        let mut load = self.load.0.lock().unwrap();
        load.asked += 1;
        let sheds = load.asked * percent / 100 > (load.asked - 1) * percent / 100;
        load.rejections += u64::from(sheds);
        sheds
    }

    /// Takes a slot, at once or after a wait; returns false if the request does not run.
    fn begin(&self, deadline: Instant) -> bool {
        let Options { slots, queue, .. } = self.options();
        let (load, changed) = &*self.load;
        let mut load = load.lock().unwrap();
        if load.running >= slots {
            if load.waiting >= queue {
                load.rejections += 1;
                return false;
            }
            load.waiting += 1;
            while load.running >= slots {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    load.waiting -= 1;
                    load.rejections += 1;
                    return false;
                }
                load = changed.wait_timeout(load, left).unwrap().0;
            }
            load.waiting -= 1;
        }
        load.running += 1;
        true
    }

    fn end(&self) {
        let (load, changed) = &*self.load;
        load.lock().unwrap().running -= 1;
        changed.notify_all();
    }
}

/// The work that a path names, as in `/notices/work-250/7`.
fn work_of(path: &str) -> Option<u64> {
    path.split('/')
        .find_map(|part| part.strip_prefix("work-")?.parse().ok())
}
