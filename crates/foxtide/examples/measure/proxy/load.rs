//! Blocking callers and a blocking upstream, as cheap as they can be.

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

/// All addresses of the machine, so that one upstream can stand for many.
const ANY_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
/// How long callers keep the answer to a look-up.
pub(crate) const LOOKUP_TTL: Duration = Duration::from_millis(200);

const HEAD_END: &[u8] = b"\r\n\r\n";
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 64\r\n\r\n\
0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

/// The figures of one run of callers.
pub(crate) struct Run {
    /// Latencies in nanoseconds.
    pub(crate) latency_ns: Histogram<u64>,
    /// How many whole answers came.
    pub(crate) answered: u64,
    /// How many requests brought anything else.
    pub(crate) failed: u64,
    /// How long the callers ran.
    pub(crate) elapsed: Duration,
}

impl Run {
    /// Returns the answers a second.
    pub(crate) fn rate_rps(&self) -> f64 {
        self.answered as f64 / self.elapsed.as_secs_f64()
    }

    /// Returns a quantile of the latency, in milliseconds.
    pub(crate) fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency_ns.value_at_quantile(quantile) as f64 / 1e6
    }
}

/// An upstream that answers each request at once.
pub(crate) struct FastUpstream {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// How many requests it got.
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

    /// Stops as a process does: what comes from now on is not answered. Or
    /// starts again.
    pub(crate) fn set_stopped(&self, stopped: bool) {
        self.stopped.store(stopped, Ordering::SeqCst);
    }

    /// Keeps back all answers, or gives them.
    pub(crate) fn set_holding(&self, holding: bool) {
        self.holding.store(holding, Ordering::SeqCst);
    }
}

/// What all connections of an upstream share.
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
            // A stopped process answers nothing that came after its stop.
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

/// Where callers connect; they look again as often as a look-up expires.
pub(crate) type SharedAddress = Arc<Mutex<SocketAddr>>;

/// How callers ask.
#[derive(Clone, Debug)]
pub(crate) struct Callers {
    /// Where they connect.
    pub(crate) address: SharedAddress,
    /// The method of their requests.
    pub(crate) method: &'static str,
    /// The target of their requests.
    pub(crate) target: &'static str,
    /// How many there are, each with one connection.
    pub(crate) count: u32,
    /// How many requests a second they send together; none: as many as can be.
    pub(crate) rate_rps: Option<f64>,
    /// How long they run.
    pub(crate) duration: Duration,
}

impl Callers {
    /// Runs all callers to their end.
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
            added.expect("the histograms have the same bounds");
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
                    recorded.expect("the histogram grows as it must");
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
            latency_ns: Histogram::new(3).expect("three digits are valid"),
            answered: 0,
            failed: 0,
            elapsed,
        }
    }
}

/// Connects as a caller.
pub(crate) fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the listener takes connections");
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
