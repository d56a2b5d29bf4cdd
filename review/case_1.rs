//! A target turns a request away, and its second answer meets the repeat of the same request.
//! `SECOND=0` leaves out the second answers, and keeps the rejections.

use crate::clients::{Client, Request, describe};
use crate::fleet::{Context, Deployment, Net, Place};
use crate::store::Store;
use crate::targets::{Options, Runs, Target};
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
{"resourceKind":"routes","metadata":{"name":"r-notices"},"spec":{"host":"jepu9.example","pathPrefix":"/notices/","type":"unsafe","timeoutS":6,"aimS":0.8,"priority":1,"service":"notices","maxAttempts":3,"sessionAffinity":true,"allowedRegions":[]}},
{"resourceKind":"services","metadata":{"name":"notices"},"spec":{"healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.1}},
{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15}}]}"#;

/// One of the eight targets turns this share of its requests away for this time.
const SHED_PERCENT: u64 = 45;
const SHED_TIME: Duration = Duration::from_millis(6_500);

/// Half of the targets follow one in so many answers by a second one for this time.
const SECOND_ANSWER_EACH: u64 = 34;
const SECOND_ANSWER_TIME: Duration = Duration::from_millis(5_000);

/// The troubles come so often, with pauses between.
const TROUBLES: usize = 8;
const PAUSE: Duration = Duration::from_millis(2_500);

const TARGETS: usize = 8;
const ZONES: [&str; 2] = ["khomas-a", "erongo-a"];
const CLIENTS: usize = 24;
const LENGTH: Duration = Duration::from_secs(78);

struct Sent {
    id: String,
    status: Option<u16>,
}

pub fn run(context: &Context) -> Result<Vec<String>, String> {
    let net = Net::new();
    let record = &context.record;
    let store = Store::start(net.ip(2)).map_err(|error| format!("store: {error}"))?;
    store.put("op/config", CONFIGURATION);
    let runs = Runs::default();
    let options = Options {
        slots: 3,
        queue: 1,
        work_ms: 120,
        ..Options::default()
    };
    let mut targets = Vec::new();
    for number in 0..TARGETS {
        let zone = ZONES[number % ZONES.len()];
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
    let deployment = Deployment::start(context, net, &store, &PLACES)?;
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let until = Instant::now() + LENGTH;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = deployment.instances[number % 2].front;
            let (sent, record) = (Arc::clone(&sent), record.clone());
            std::thread::spawn(move || {
                let mut client = None;
                for count in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let id = format!("c{number}-{count}");
                    let target = format!("/notices/work-120/{id}");
                    let mut open = match client.take() {
                        Some(open) => open,
                        None => match Client::open(front) {
                            Ok(open) => open,
                            Err(_) => continue,
                        },
                    };
                    let request = Request {
                        method: "POST",
                        host: HOST,
                        target: &target,
                        id: &id,
                        deadline_ms: 6_000,
                        body: b"{\"lintel\":3}",
                    };
                    let mut bytes = request.encode();
                    let object = (number * 7 + count * 3) % 40;
                    let cookie = format!("\r\nCookie: X-Affinity-Key={object}\r\nX-Request-Id");
                    let text = String::from_utf8_lossy(&bytes).replacen("\r\nX-Request-Id", &cookie, 1);
                    bytes = text.into_bytes();
                    let answer = open.exchange_raw(&bytes, Duration::from_millis(7_000));
                    record.line(&format!("client {number}: POST {id}: {}", describe(&answer)));
                    let status = answer.as_ref().ok().map(|answer| answer.status());
                    let keeps = answer.is_ok_and(|answer| answer.header("Connection") != Some("close"));
                    if keeps {
                        client = Some(open);
                    }
                    sent.lock().unwrap().push(Sent { id, status });
                    if status == Some(503) {
                        std::thread::sleep(Duration::from_millis(200));
                    }
                }
            })
        })
        .collect();
    if context.trouble {
        for _ in 0..TROUBLES {
            std::thread::sleep(PAUSE);
            make_trouble(context, &targets);
        }
    }
    for client in clients {
        client.join().map_err(|_| "a client ended early".to_owned())?;
    }
    std::thread::sleep(Duration::from_secs(1));
    let mut broken = Vec::new();
    let sent = sent.lock().unwrap();
    for one in sent.iter() {
        let count = runs.count(&one.id);
        if count > 1 {
            broken.push(format!("TWICE: {} ran {count} times", one.id));
        }
        let is_promise = matches!(one.status, Some(408 | 421 | 429 | 503));
        if is_promise && count > 0 {
            let status = one.status.unwrap_or_default();
            broken.push(format!(
                "REFUSED: {} was answered {status} and ran {count} times",
                one.id
            ));
        }
    }
    for target in &targets {
        let totals = target.totals();
        record.line(&format!(
            "target {}: {} answers, {} rejections, {} second answers",
            target.id, totals.answers, totals.rejections, totals.second_answers
        ));
        println!(
            "target {}: {} answers, {} rejections, {} second answers",
            target.id, totals.answers, totals.rejections, totals.second_answers
        );
    }
    let statuses = |status| sent.iter().filter(|one| one.status == status).count();
    println!(
        "{} sent, {} answered 200, {} 503, {} no answer",
        sent.len(),
        statuses(Some(200)),
        statuses(Some(503)),
        statuses(None)
    );
    record.line(&format!(
        "driver: {} sent, {} answered 200, {} answered 503",
        sent.len(),
        statuses(Some(200)),
        statuses(Some(503))
    ));
    Ok(broken)
}

/// Makes targets turn requests away, and some of them give second answers.
fn make_trouble(context: &Context, targets: &[Target]) {
    let record = &context.record;
    for (number, target) in targets.iter().enumerate() {
        let gives_second = number < TARGETS / 2 && std::env::var("SECOND").as_deref() != Ok("0");
        let each = if gives_second { SECOND_ANSWER_EACH } else { 0 };
        let shed = if number == 0 { SHED_PERCENT } else { 0 };
        record.line(&format!(
            "trouble: {} turns {shed} % away, second answer each {each}",
            target.id
        ));
        target.set_options(|options| {
            options.shed_percent = shed;
            options.second_answer_each = each;
        });
    }
    std::thread::sleep(SECOND_ANSWER_TIME);
    targets
        .iter()
        .for_each(|target| target.set_options(|options| options.second_answer_each = 0));
    std::thread::sleep(SHED_TIME - SECOND_ANSWER_TIME);
    targets
        .iter()
        .for_each(|target| target.set_options(|options| options.shed_percent = 0));
    record.line("trouble: over");
}
