//! A load generator and a fake upstream on blocking sockets, with little
//! overhead of their own.

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use std::io::{
    Read,
    Write, //
};
use std::net::{
    IpAddr,
    Ipv4Addr,
    SocketAddr,
    TcpListener,
    TcpStream, //
};
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    AtomicU64,
    Ordering, //
};
use std::thread::JoinHandle;
use std::time::{
    Duration,
    Instant, //
};

/// All local addresses, so that one listener can serve as many upstreams.
const ANY_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
/// The time to live of an answer to a look-up.
pub(crate) const LOOKUP_TTL: Duration = Duration::from_millis(200);

const HEAD_END: &[u8] = b"\r\n\r\n";
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 64\r\n\r\n\
0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

/// The results of one run of callers.
pub(crate) struct Run {
    pub(crate) latency_ns: Histogram<u64>,
    /// The number of complete answers with status 200.
    pub(crate) answered: u64,
    /// The number of other requests.
    pub(crate) failed: u64,
    pub(crate) elapsed: Duration,
}

impl Run {
    /// Returns the answers per second.
    pub(crate) fn rate_rps(&self) -> f64 {
        self.answered as f64 / self.elapsed.as_secs_f64()
    }

    /// Returns a quantile of the latency, in milliseconds.
    pub(crate) fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency_ns.value_at_quantile(quantile) as f64 / 1e6
    }
}

/// A fake upstream that answers each request immediately.
pub(crate) struct FastUpstream {
    pub(crate) address: SocketAddr,
    /// The number of requests received.
    pub(crate) received: Arc<AtomicU64>,
    holding: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
}

impl FastUpstream {
    /// Starts an upstream; a thread serves each connection.
    pub(crate) fn start() -> Self {
        let listener = TcpListener::bind(ANY_ADDRESS).expect("a port can be bound");
        let bound = listener.local_addr().expect("the listener has an address");
        let upstream = Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, bound.port())),
            received: Arc::default(),
            holding: Arc::default(),
            stopped: Arc::default(),
        };
        let state = SharedState {
            received: Arc::clone(&upstream.received),
            holding: Arc::clone(&upstream.holding),
            stopped: Arc::clone(&upstream.stopped),
        };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = state.clone();
                let serve = move || state.serve(stream);
                let _ = std::thread::Builder::new()
                    .stack_size(64 * 1_024)
                    .spawn(serve);
            }
        });
        upstream
    }

    /// Stops or restarts the upstream. While stopped, it closes connections on
    /// which it receives data, without an answer.
    pub(crate) fn set_stopped(&self, stopped: bool) {
        self.stopped.store(stopped, Ordering::SeqCst);
    }

    /// Sets whether answers are held back.
    pub(crate) fn set_holding(&self, holding: bool) {
        self.holding.store(holding, Ordering::SeqCst);
    }
}

/// The state that all connections of an upstream share.
#[derive(Clone)]
struct SharedState {
    received: Arc<AtomicU64>,
    holding: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
}

impl SharedState {
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = [0; 4_096];
        let mut filled = 0;
        while let Ok(size_bytes @ 1..) = stream.read(&mut buffer[filled..]) {
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            filled += size_bytes;
            if !buffer[..filled].ends_with(HEAD_END) {
                continue;
            }
            filled = 0;
            self.received.fetch_add(1, Ordering::Relaxed);
            while self.holding.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(5));
            }
            if stream.write_all(ANSWER).is_err() {
                return;
            }
        }
    }
}

/// The address to which callers connect; they read it again when their look-up
/// expires.
pub(crate) type SharedAddress = Arc<Mutex<SocketAddr>>;

/// Callers that send the same request again and again.
#[derive(Clone, Debug)]
pub(crate) struct Callers {
    pub(crate) address: SharedAddress,
    pub(crate) method: &'static str,
    /// The request target, RFC 9112 section 3.2.
    pub(crate) target: &'static str,
    /// The number of callers, each with one connection.
    pub(crate) count: u32,
    /// The rate of all callers together; `None` sends without a pause.
    pub(crate) rate_rps: Option<f64>,
    pub(crate) duration: Duration,
}

impl Callers {
    /// Runs all callers and returns their combined results.
    pub(crate) fn run(&self) -> Run {
        let started = Instant::now();
        let spawn = |_| {
            let callers = self.clone();
            std::thread::spawn(move || callers.run_one(started))
        };
        let threads: Vec<JoinHandle<Run>> = (0..self.count).map(spawn).collect();
        let mut total = Run::empty(started.elapsed());
        for thread in threads {
            let run = thread.join().expect("a caller does not panic");
            total.answered += run.answered;
            total.failed += run.failed;
            let added = total.latency_ns.add(&run.latency_ns);
            added.expect("the histogram resizes itself");
        }
        total.elapsed = started.elapsed();
        total
    }

    fn run_one(&self, started: Instant) -> Run {
        let mut run = Run::empty(Duration::ZERO);
        let interval = self
            .rate_rps
            .map(|rate| Duration::from_secs_f64(f64::from(self.count) / rate));
        let request = format!(
            "{} {} HTTP/1.1\r\nhost: x\r\n\r\n",
            self.method, self.target
        );
        let mut address = *self.address.lock();
        let mut looked_up_at = Instant::now();
        let mut stream = connect(address);
        let mut next_send_at = Instant::now();
        while started.elapsed() < self.duration {
            if let Some(interval) = interval {
                std::thread::sleep(next_send_at.saturating_duration_since(Instant::now()));
                next_send_at = (next_send_at + interval).max(Instant::now() - interval);
            }
            if looked_up_at.elapsed() > LOOKUP_TTL {
                looked_up_at = Instant::now();
                let previous = std::mem::replace(&mut address, *self.address.lock());
                if previous != address {
                    stream = connect(address);
                }
            }
            let sent_at = Instant::now();
            let reply = exchange(&mut stream, request.as_bytes());
            let latency_ns = u64::try_from(sent_at.elapsed().as_nanos()).unwrap_or(u64::MAX);
            match reply {
                Reply::Complete { closes } => {
                    run.answered += 1;
                    let recorded = run.latency_ns.record(latency_ns);
                    recorded.expect("the histogram resizes itself");
                    if closes {
                        stream = connect(address);
                    }
                }
                Reply::Failed => {
                    run.failed += 1;
                    stream = connect(address);
                }
            }
        }
        run
    }
}

impl Run {
    fn empty(elapsed: Duration) -> Self {
        Self {
            latency_ns: Histogram::new(3).expect("three significant digits are valid"),
            answered: 0,
            failed: 0,
            elapsed,
        }
    }
}

pub(crate) fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the listener accepts connections");
    let _ = stream.set_nodelay(true);
    stream
}

enum Reply {
    Complete { closes: bool },
    Failed,
}

fn exchange(stream: &mut TcpStream, request: &[u8]) -> Reply {
    if stream.write_all(request).is_err() {
        return Reply::Failed;
    }
    let mut buffer = [0; 8_192];
    let mut filled = 0;
    loop {
        match stream.read(&mut buffer[filled..]) {
            Ok(size_bytes @ 1..) => filled += size_bytes,
            _ => return Reply::Failed,
        }
        let Some(head_bytes) = find(&buffer[..filled], HEAD_END) else {
            continue;
        };
        let head = &buffer[..head_bytes];
        if filled < head_bytes + HEAD_END.len() + content_length(head) {
            continue;
        }
        return match head.starts_with(b"HTTP/1.1 200 ") {
            true => Reply::Complete {
                closes: find(head, b"connection: close").is_some(),
            },
            false => Reply::Failed,
        };
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

fn content_length(head: &[u8]) -> usize {
    const NAME: &[u8] = b"content-length: ";
    let Some(at) = find(head, NAME) else {
        return 0;
    };
    let digits = head[at + NAME.len()..]
        .iter()
        .take_while(|b| b.is_ascii_digit());
    digits.fold(0, |length, digit| length * 10 + usize::from(digit - b'0'))
}
