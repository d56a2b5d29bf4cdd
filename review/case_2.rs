//! An instance is stopped as planned while requests wait there for a free target.

use crate::clients::{Client, Request, describe};
use crate::fleet::{Context, Deployment, Net, Place, SIGTERM};
use crate::record::Record;
use crate::store::Store;
use crate::targets::{Options, Runs, Target};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HOST: &str = "jepu9.example";

const PLACES: [Place; 2] = [
    Place {
        name: "edge-khomas-a-1",
        zone: "khomas-a",
        region: "khomas",
        memory_mb: 260,
        link_mbps: 1000,
    },
    Place {
        name: "edge-erongo-a-1",
        zone: "erongo-a",
        region: "erongo",
        memory_mb: 260,
        link_mbps: 1000,
    },
];

const CONFIGURATION: &str = r#"{"configVersion":"r7","resources":[
{"resourceKind":"routes","metadata":{"name":"r-notices"},"spec":{"host":"jepu9.example","pathPrefix":"/notices/","type":"unsafe","timeoutS":12,"aimS":1.5,"priority":1,"service":"notices","maxAttempts":2,"sessionAffinity":true,"allowedRegions":[]}},
{"resourceKind":"services","metadata":{"name":"notices"},"spec":{"healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.1}},
{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15}}]}"#;

const DEADLINE_MS: u64 = 12_000;
const GRACE_S: f64 = 6.0;
const LOSS_SLACK_S: f64 = 0.2;

/// The work of a request, 2.2 s on average.
const WORK_MS: [u64; 4] = [1_900, 2_200, 2_500, 2_200];
const TARGETS: usize = 4;
const CLIENTS: usize = 44;
const BEFORE_STOP: Duration = Duration::from_secs(25);
const AFTER_STOP: Duration = Duration::from_secs(15);

/// A request whose connection ended without a complete answer.
struct Cut {
    id: String,
    instance: SocketAddr,
    sent_at_ms: u64,
    cut_at_ms: u64,
}

pub fn run(context: &Context) -> Result<Vec<String>, String> {
    let net = Net::new();
    let record = &context.record;
    let store = Store::start(net.ip(2)).map_err(|error| format!("store: {error}"))?;
    store.put("op/config", CONFIGURATION);
    let runs = Runs::default();
    let options = Options {
        slots: 2,
        queue: 4,
        work_ms: 2_200,
        ..Options::default()
    };
    let mut targets = Vec::new();
    for number in 0..TARGETS {
        let zone = ["khomas-a", "erongo-a"][number % 2];
        let id = format!("i-notices-{number}");
        let target = Target::start(
            &id,
            "notices",
            zone,
            net.ip(101 + number as u8),
            options,
            &runs,
            record,
        )?;
        target.register(&store, "ready");
        targets.push(target);
    }
    let mut deployment = Deployment::start(context, net, &store, &PLACES)?;
    let directories: Vec<SocketAddr> = deployment
        .instances
        .iter()
        .map(|instance| instance.directory)
        .collect();
    let cuts: Arc<Mutex<Vec<Cut>>> = Arc::default();
    let until = Instant::now() + BEFORE_STOP + AFTER_STOP;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (cuts, record, directories) = (Arc::clone(&cuts), record.clone(), directories.clone());
            std::thread::spawn(move || run_client(number, &directories, until, &cuts, &record))
        })
        .collect();
    std::thread::sleep(BEFORE_STOP);
    let mut stopped_at_ms = None;
    if context.trouble {
        let stopped = &mut deployment.instances[0];
        stopped_at_ms = Some(record.now_ms());
        stopped.signal(SIGTERM, "SIGTERM");
        if stopped.wait_end(Duration::from_secs_f64(GRACE_S)).is_none() {
            return Err("the instance outlasts its grace time".to_owned());
        }
    }
    for client in clients {
        client.join().map_err(|_| "a client ended early".to_owned())?;
    }
    let stopped = deployment.instances[0].front;
    let mut broken = Vec::new();
    // Cuts without planned work break the rule only if there are more than three.
    let mut elsewhere = Vec::new();
    for cut in cuts.lock().unwrap().iter() {
        let took_s = (cut.cut_at_ms - cut.sent_at_ms) as f64 / 1_000.0;
        let Some(stopped_at_ms) = stopped_at_ms.filter(|_| cut.instance == stopped) else {
            record.line(&format!(
                "driver: no answer: {} after {took_s:.3} s, without a stop",
                cut.id
            ));
            let is_in_time = took_s < DEADLINE_MS as f64 / 1_000.0;
            if is_in_time && runs.offered(&cut.id, cut.cut_at_ms) {
                elsewhere.push(cut.id.clone());
            }
            continue;
        };
        let since_stop_s = (cut.cut_at_ms as f64 - stopped_at_ms as f64) / 1_000.0;
        let sent_after_s = (cut.sent_at_ms as f64 - stopped_at_ms as f64) / 1_000.0;
        let offered = runs.offered(&cut.id, cut.cut_at_ms);
        let detail = format!(
            "{} sent {sent_after_s:.3} s after SIGTERM, cut {since_stop_s:.3} s after it and {took_s:.3} s after it was sent; offered to a target: {offered}",
            cut.id
        );
        record.line(&format!("driver: no answer: {detail}"));
        // A target that has the request may be at work on it in the last sixth of the grace time.
        let is_excused = offered;
        let is_in_time = took_s < DEADLINE_MS as f64 / 1_000.0;
        let is_planned = (0.0..=GRACE_S + 1.0).contains(&since_stop_s);
        if !is_excused && is_in_time && is_planned && took_s > LOSS_SLACK_S {
            broken.push(format!("LOST: {detail}"));
        }
    }
    if elsewhere.len() > 3 {
        broken.push(format!(
            "LOST: {} requests were cut without a stop: {}",
            elsewhere.len(),
            elsewhere.join(" ")
        ));
    }
    Ok(broken)
}

/// Sends requests one after the other, to instances that the directory names.
fn run_client(
    number: usize,
    directories: &[SocketAddr],
    until: Instant,
    cuts: &Mutex<Vec<Cut>>,
    record: &Record,
) {
    let mut open: Option<(SocketAddr, Client)> = None;
    let mut addresses: Vec<SocketAddr> = Vec::new();
    let mut resolved_at: Option<Instant> = None;
    // Clients of the same zone start one after the other.
    std::thread::sleep(Duration::from_millis(60 * number as u64));
    for count in 0.. {
        if Instant::now() >= until {
            return;
        }
        if resolved_at.is_none_or(|at| at.elapsed() > Duration::from_secs(2)) {
            if let Some(found) = resolve(directories, number) {
                addresses = found;
                resolved_at = Some(Instant::now());
            }
        }
        if addresses.is_empty() {
            std::thread::sleep(Duration::from_millis(200));
            continue;
        }
        open = open.filter(|(address, _)| addresses.contains(address));
        let (address, mut client) = match open.take() {
            Some(open) => open,
            None => {
                let address = addresses[(number + count) % addresses.len()];
                match Client::open(address) {
                    Ok(client) => (address, client),
                    Err(_) => {
                        addresses.retain(|one| *one != address);
                        continue;
                    }
                }
            }
        };
        let id = format!("c{number}-{count}");
        let work_ms = WORK_MS[(number + count) % WORK_MS.len()];
        let target = format!("/notices/work-{work_ms}/{id}");
        let request = Request {
            method: "POST",
            host: HOST,
            target: &target,
            id: &id,
            deadline_ms: DEADLINE_MS,
            body: b"{\"lintel\":3}",
        };
        let sent_at_ms = record.now_ms();
        record.line(&format!("client {number}: POST {id} to {address}"));
        let answer = client.exchange(&request);
        record.line(&format!("client {number}: {id}: {}", describe(&answer)));
        match answer {
            Ok(answer) => {
                if answer.status() == 503 {
                    std::thread::sleep(Duration::from_millis(300));
                }
                if answer.header("Connection") != Some("close") {
                    open = Some((address, client));
                }
            }
            Err(_) => cuts.lock().unwrap().push(Cut {
                id,
                instance: address,
                sent_at_ms,
                cut_at_ms: record.now_ms(),
            }),
        }
    }
}

/// Asks the directory, the nearest one first.
fn resolve(directories: &[SocketAddr], number: usize) -> Option<Vec<SocketAddr>> {
    for offset in 0..directories.len() {
        let at = (number + offset) % directories.len();
        let region = PLACES[number % 2].region;
        let zone = PLACES[number % 2].zone;
        let head = format!(
            "GET /v1/resolve?name={HOST}&region={region}&zone={zone} HTTP/1.1\r\nHost: {}\r\n\r\n",
            directories[at]
        );
        let Ok(mut client) = Client::open(directories[at]) else {
            continue;
        };
        let Ok(answer) = client.exchange_raw(head.as_bytes(), Duration::from_secs(1)) else {
            continue;
        };
        if answer.status() != 200 {
            continue;
        }
        let body = crate::json::parse(&answer.body)?;
        let addresses = body.list("addresses").iter().filter_map(|address| match address {
            crate::json::Value::Text(text) => text.parse().ok(),
            _ => None,
        });
        return Some(addresses.collect());
    }
    None
}
