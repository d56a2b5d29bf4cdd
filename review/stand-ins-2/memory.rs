//! Clients that read large answers slowly, beside clients that file notices on kept connections.
//!
//! The platform kills a process that exceeds its memory and starts it again after a short delay.

use crate::clients::{connect_as_over_ethernet, read_slowly};
use crate::http::Connection;
use crate::fleet::{Deployment, Instance};
use crate::record::Record;
use crate::store::Store;
use crate::targets::{Target, Terms};
use crate::{Setting, Verdict};
use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 260;
const LINK_MBPS: u64 = 1_000;

/// The largest download of the sheets.
const ANSWER_BYTES: usize = 540_000;

/// The time limit of the clients, and how fast the slow ones read.
const TIME_LIMIT: Duration = Duration::from_millis(4_000);
const SLOW_BYTES_PER_S: usize = 10_000;
const RECEIVE_BUFFER_BYTES: i32 = 16_384;

/// Downloads that are begun at each instance in a second.
const REQUESTS_PER_S: u64 = 150;

/// The clients that file notices at each instance.
const FILERS: usize = 6;

const LENGTH: Duration = Duration::from_secs(40);

/// How long after its end the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The requests that a machine may lose, by the rule.
const LOST_MAX: usize = 3;

/// The ends of a machine that make a day count nothing, and the machines.
const ENDS: u32 = 3;
const MACHINES: usize = 2;

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let failed = |error: std::io::Error| error.to_string();
    // An address for each machine, so that the ports of the pages are free.
    let net = (std::process::id() % 200 + 20) as u8;
    let ip = |last: u8| IpAddr::V4(Ipv4Addr::new(127, 77, net, last));
    let store = Store::start(ip(1)).map_err(failed)?;
    store.put("op/config", &configuration());
    for number in 0..6 {
        let terms = Terms {
            id: format!("i-{number}"),
            service: "archive".to_owned(),
            zone: "khomas-a".to_owned(),
            ip: ip(100 + number),
            slots: 64,
            work: Duration::from_millis(50),
            answer_bytes: ANSWER_BYTES,
        };
        Target::start(terms, &store, record).map_err(failed)?;
        let terms = Terms {
            id: format!("n-{number}"),
            service: "notices".to_owned(),
            zone: "khomas-a".to_owned(),
            ip: ip(100 + number),
            slots: 16,
            work: Duration::from_millis(300),
            answer_bytes: 5_000,
        };
        Target::start(terms, &store, record).map_err(failed)?;
    }
    let deployment = Deployment {
        root: setting.root.clone(),
        folder: setting.folder.clone(),
        store: store.address,
        memory_mb: MEMORY_MB,
        link_mbps: LINK_MBPS,
        grace_s: 6.0,
    };
    let ips = [ip(11), ip(12)];
    let mut instances = Vec::new();
    for (number, ip) in ips.iter().enumerate() {
        let name = format!("edge-khomas-a-{number}");
        let mut instance = Instance::new(&name, *ip, "khomas-a", &ips, &deployment);
        instance.start(record).map_err(failed)?;
        instances.push(instance);
    }
    for instance in &instances {
        if !instance.wait_until_ready(Duration::from_secs(15)) {
            return Err(format!("{} is not ready", instance.name));
        }
    }
    thread::sleep(Duration::from_secs(2));
    record.say("traffic begins");
    let counts = Arc::new(Counts::default());
    let mut clients: Vec<_> = instances
        .iter()
        .enumerate()
        .map(|(number, instance)| {
            let (front, source) = (instance.front(), ip(200 + number as u8));
            let (record, counts) = (record.clone(), Arc::clone(&counts));
            let is_slow = setting.has_trouble;
            thread::spawn(move || send_all(number, source, front, is_slow, &record, &counts))
        })
        .collect();
    for (number, instance) in instances.iter().enumerate() {
        for filer in 0..FILERS {
            let name = format!("n{number}c{filer}");
            let (front, source) = (instance.front(), ip(200 + number as u8));
            let (record, counts) = (record.clone(), Arc::clone(&counts));
            clients.push(thread::spawn(move || {
                file_all(&name, source, front, &record, &counts);
            }));
        }
    }
    let ends = watch_memory(&mut instances, record).map_err(failed)?;
    counts.is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    record.say(format!(
        "requests {}, whole answers {}, broken off {}, refused {}, not connected {}",
        counts.sent.load(Ordering::SeqCst),
        counts.whole.load(Ordering::SeqCst),
        counts.broken.load(Ordering::SeqCst),
        counts.refused.load(Ordering::SeqCst),
        counts.unconnected.load(Ordering::SeqCst),
    ));
    record.say(format!("ends by machine: {ends:?}"));
    let often = ends.iter().filter(|&&ends| ends >= ENDS).count();
    if often >= MACHINES {
        record.say(format!("{often} machines ended {ENDS} times or more"));
    }
    let lost = lost_notices(record, instances.len());
    record.say(format!(
        "notices filed {}, passed on from a kept connection that then ended without an answer, by \
         machine: {lost:?}",
        counts.filed.load(Ordering::SeqCst)
    ));
    Ok(lost.iter().all(|&lost| lost <= LOST_MAX))
}

#[derive(Default)]
struct Counts {
    is_over: AtomicBool,
    sent: AtomicU64,
    whole: AtomicU64,
    broken: AtomicU64,
    refused: AtomicU64,
    unconnected: AtomicU64,
    filed: AtomicU64,
}

fn add(count: &AtomicU64) {
    count.fetch_add(1, Ordering::SeqCst);
}

/// Plays the platform for the length of the case: ends processes that exceed their memory, and
/// starts them again. Returns the ends of each.
fn watch_memory(instances: &mut [Instance], record: &Record) -> std::io::Result<Vec<u32>> {
    let mut ends = vec![0; instances.len()];
    let mut peaks = vec![0; instances.len()];
    let mut starts_at: Vec<Option<Instant>> = vec![None; instances.len()];
    let over_at = Instant::now() + LENGTH;
    while Instant::now() < over_at {
        thread::sleep(Duration::from_millis(20));
        for (number, instance) in instances.iter_mut().enumerate() {
            if let Some(at) = starts_at[number] {
                if Instant::now() >= at {
                    instance.start(record)?;
                    starts_at[number] = None;
                }
                continue;
            }
            let used = instance.memory_bytes();
            peaks[number] = used.max(peaks[number]);
            if used > MEMORY_MB * 1_024 * 1_024 || instance.has_ended() {
                let name = &instance.name;
                record.say(format!("{name} uses {} MB and is ended", used / 1_000_000));
                instance.kill();
                ends[number] += 1;
                starts_at[number] = Some(Instant::now() + RESTART_DELAY);
            }
        }
    }
    let peaks: Vec<u64> = peaks.iter().map(|peak| peak / 1_000_000).collect();
    record.say(format!("memory at most, MB: {peaks:?}"));
    Ok(ends)
}

/// Sends downloads to an instance at an even rate until the case is over.
fn send_all(
    number: usize,
    source: IpAddr,
    front: SocketAddr,
    is_slow: bool,
    record: &Record,
    counts: &Arc<Counts>,
) {
    let mut sent = 0;
    let mut readers = Vec::new();
    while !counts.is_over.load(Ordering::SeqCst) {
        sent += 1;
        let id = format!("{number}x{sent:06}");
        let (record, counts) = (record.clone(), Arc::clone(counts));
        let reader = thread::Builder::new().stack_size(128 * 1_024);
        let reading = move || download(&id, source, front, is_slow, &record, &counts);
        if let Ok(reader) = reader.spawn(reading) {
            readers.push(reader);
        }
        thread::sleep(Duration::from_secs(1) / REQUESTS_PER_S as u32);
    }
}

/// Files notices on a kept connection, one after the other, until the case is over.
fn file_all(name: &str, source: IpAddr, front: SocketAddr, record: &Record, counts: &Counts) {
    let mut kept: Option<Connection> = None;
    let mut sent = 0;
    while !counts.is_over.load(Ordering::SeqCst) {
        let is_kept = kept.is_some();
        let Some(mut connection) = kept.take().or_else(|| connect(source, front)) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        sent += 1;
        let id = format!("{name}x{sent:05}");
        let request = format!(
            "POST /notices/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\n\
             X-Request-Deadline: 6000\r\nContent-Length: 6\r\n\r\nnotice"
        );
        add(&counts.filed);
        let place = if is_kept { "on a kept connection" } else { "first on its connection" };
        record.note(format!("sent {id} {place}"));
        let answer = connection.send(request.as_bytes()).and_then(|()| connection.message());
        match answer {
            Ok(Some(answer)) => {
                record.note(format!("answered {id} {}", answer.status()));
                let closes = answer.header("connection") == Some("close");
                kept = (!closes).then_some(connection);
            }
            _ => record.note(format!("unanswered {id}")),
        }
        thread::sleep(Duration::from_millis(50));
    }
}

fn connect(source: IpAddr, front: SocketAddr) -> Option<Connection> {
    // Segments and buffers as those of the other clients; the size of the buffer is a usual one.
    let connection = connect_as_over_ethernet(source, front, 131_072).ok()?;
    let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(6)));
    Some(connection)
}

/// Counts by machine the notices that were sent on a kept connection and run by a target, and whose
/// connection then ended without an answer.
fn lost_notices(record: &Record, machines: usize) -> Vec<usize> {
    let mut kept = HashSet::new();
    let mut ran = HashSet::new();
    let mut lost = vec![0; machines];
    record.each(|_, line| {
        let words: Vec<&str> = line.split(' ').collect();
        match words.as_slice() {
            ["sent", id, "on", ..] => {
                kept.insert((*id).to_owned());
            }
            ["run", id, ..] => {
                ran.insert((*id).to_owned());
            }
            ["unanswered", id] if kept.contains(*id) && ran.contains(*id) => {
                let machine = id[1..2].parse().unwrap_or(0);
                lost[usize::min(machine, machines - 1)] += 1;
            }
            _ => {}
        }
    });
    lost
}

fn download(
    id: &str,
    source: IpAddr,
    front: SocketAddr,
    is_slow: bool,
    record: &Record,
    counts: &Counts,
) {
    let connected = connect_as_over_ethernet(source, front, RECEIVE_BUFFER_BYTES);
    let Ok(mut connection) = connected else {
        add(&counts.unconnected);
        return;
    };
    let _ = connection.stream.set_read_timeout(Some(TIME_LIMIT));
    let request = format!(
        "GET /archive/{id} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline: {}\r\n\r\n",
        TIME_LIMIT.as_millis()
    );
    add(&counts.sent);
    record.note(format!("sent {id}"));
    let began_at = Instant::now();
    let head = connection.send(request.as_bytes()).and_then(|()| connection.head());
    let Ok(Some(head)) = head else {
        add(&counts.broken);
        record.note(format!("unanswered {id}"));
        return;
    };
    if head.status() != 200 {
        add(&counts.refused);
        record.note(format!("answered {id} {}", head.status()));
        return;
    }
    let size = head.header("content-length").and_then(|text| text.parse().ok());
    let size: usize = size.unwrap_or(0);
    let pace = if is_slow { SLOW_BYTES_PER_S } else { usize::MAX / 1_000 };
    let limit = TIME_LIMIT.saturating_sub(began_at.elapsed());
    let came = read_slowly(&mut connection, size, pace, limit);
    if came >= size {
        add(&counts.whole);
    } else {
        add(&counts.broken);
    }
    record.note(format!("answered {id} 200, {came} of {size} bytes"));
}

fn configuration() -> String {
    r#"{"configVersion":"r1","resources":[
{"resourceKind":"routes","metadata":{"name":"archive-pull"},"spec":{"host":"a.example",
"pathPrefix":"/archive/","type":"download","timeoutS":4.0,"aimS":0.5,"priority":2,
"maxAttempts":2,"service":"archive","sessionAffinity":false,"allowedRegions":[]}},
{"resourceKind":"routes","metadata":{"name":"defect-filing"},"spec":{"host":"a.example",
"pathPrefix":"/notices/","type":"unsafe","timeoutS":2.0,"aimS":0.8,"priority":1,
"maxAttempts":2,"service":"notices","sessionAffinity":false,"allowedRegions":[]}},
{"resourceKind":"services","metadata":{"name":"notices"},"spec":{"maxConnections":360,
"coldStartS":3.0,"coldPerS":3.1,"healthPath":"/health"}},
{"resourceKind":"services","metadata":{"name":"archive"},"spec":{"maxConnections":360,
"coldStartS":3.0,"coldPerS":3.1,"healthPath":"/health"}},
{"resourceKind":"limits","metadata":{"name":"limits"},"spec":{"maxHeaderBytes":16384,
"maxBodyBytes":1048576,"headerTimeoutS":5.0,"idleTimeoutS":15.0}}]}"#
        .to_owned()
}
