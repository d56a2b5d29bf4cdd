//! Clients send large bodies in chunks, each within the limits of the configuration.

use crate::clients::{Client, Request, describe};
use crate::fleet::{Context, Deployment, Net, Place, SIGKILL};
use crate::store::Store;
use crate::targets::{Options, Runs, Target};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HOST: &str = "jepu9.example";

const PLACES: [Place; 2] = [
    Place {
        name: "edge-khomas-a-1",
        zone: "khomas-a",
        region: "khomas",
        memory_mb: MEMORY_MB,
        link_mbps: 1000,
    },
    Place {
        name: "edge-erongo-a-1",
        zone: "erongo-a",
        region: "erongo",
        memory_mb: MEMORY_MB,
        link_mbps: 1000,
    },
];

/// The limits are those that the users' page shows (`fleetbench wire`).
const CONFIGURATION: &str = r#"{"configVersion":"r7","resources":[
{"resourceKind":"routes","metadata":{"name":"r-notices"},"spec":{"host":"jepu9.example","pathPrefix":"/notices/","type":"unsafe","timeoutS":6,"aimS":1.5,"priority":1,"service":"notices","maxAttempts":2,"sessionAffinity":false,"allowedRegions":[]}},
{"resourceKind":"routes","metadata":{"name":"r-surveys"},"spec":{"host":"jepu9.example","pathPrefix":"/surveys/","type":"unsafe","timeoutS":12,"aimS":1.5,"priority":2,"service":"archive","maxAttempts":2,"sessionAffinity":false,"allowedRegions":[]}},
{"resourceKind":"services","metadata":{"name":"notices"},"spec":{"healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.1}},
{"resourceKind":"services","metadata":{"name":"archive"},"spec":{"healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.1}},
{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}]}"#;

const MEMORY_MB: u32 = 260;
const FILERS: usize = 16;
const UPLOADERS: usize = 48;
const UPLOAD_BYTES: usize = 8 * 1_024 * 1_024;
const CHUNK_BYTES: usize = 64 * 1_024;
/// The pause between two chunks: an upload takes about 7 s, as over a line of 9 Mbit/s.
const CHUNK_PAUSE: Duration = Duration::from_millis(54);
/// The clients with uploads start one after the other.
const UPLOAD_STAGGER: Duration = Duration::from_millis(40);
const LENGTH: Duration = Duration::from_secs(30);

pub fn run(context: &Context) -> Result<Vec<String>, String> {
    let net = Net::new();
    let record = &context.record;
    let store = Store::start(net.ip(2)).map_err(|error| format!("store: {error}"))?;
    store.put("op/config", CONFIGURATION);
    let runs = Runs::default();
    let options = Options {
        slots: 4,
        queue: 12,
        work_ms: 900,
        ..Options::default()
    };
    for number in 0..8 {
        let zone = ["khomas-a", "erongo-a"][number % 2];
        let service = ["notices", "archive"][number / 2 % 2];
        let id = format!("i-{service}-{number}");
        let target = Target::start(
            &id,
            service,
            zone,
            net.ip(101 + number as u8),
            options,
            &runs,
            record,
        )?;
        target.register(&store, "ready");
    }
    let mut deployment = Deployment::start(context, net, &store, &PLACES)?;
    let fronts: Vec<_> = deployment
        .instances
        .iter()
        .map(|instance| instance.front)
        .collect();
    let began_at = Instant::now();
    let over = Arc::new(AtomicBool::new(false));
    // Requests on kept connections that ended without an answer.
    let cuts: Arc<Mutex<Vec<(String, usize, u64)>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..FILERS {
        let (front, at) = (fronts[number % 2], number % 2);
        let (cuts, record, over) = (Arc::clone(&cuts), record.clone(), Arc::clone(&over));
        clients.push(std::thread::spawn(move || {
            let mut open: Option<Client> = None;
            for count in 0.. {
                if over.load(Ordering::SeqCst) {
                    return;
                }
                // Only requests on kept connections count.
                let is_kept = open.is_some();
                let mut client = match open.take() {
                    Some(client) => client,
                    None => match Client::open(front) {
                        Ok(client) => client,
                        Err(_) => {
                            std::thread::sleep(Duration::from_millis(500));
                            continue;
                        }
                    },
                };
                let id = format!("f{number}-{count}");
                let target = format!("/notices/work-900/{id}");
                let request = Request {
                    method: "POST",
                    host: HOST,
                    target: &target,
                    id: &id,
                    deadline_ms: 6_000,
                    body: b"{\"lintel\":3}",
                };
                let answer = client.exchange(&request);
                record.line(&format!("client f{number}: POST {id}: {}", describe(&answer)));
                match answer {
                    Ok(_) => open = Some(client),
                    Err(_) if is_kept => cuts.lock().unwrap().push((id, at, record.now_ms())),
                    Err(_) => {}
                }
            }
        }));
    }
    for number in 0..UPLOADERS {
        // The instance of their region, which the directory names to them.
        let (front, trouble) = (fronts[0], context.trouble);
        let (record, over) = (record.clone(), Arc::clone(&over));
        clients.push(std::thread::spawn(move || {
            std::thread::sleep(UPLOAD_STAGGER * number as u32);
            for count in 0.. {
                if over.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("u{number}-{count}");
                let Ok(mut client) = Client::open(front) else {
                    std::thread::sleep(Duration::from_secs(1));
                    continue;
                };
                let form = if trouble { "in chunks" } else { "with a length" };
                record.line(&format!(
                    "client u{number}: POST {id} of {UPLOAD_BYTES} bytes {form}"
                ));
                let _ = send_upload(&mut client, &id, trouble);
                let answer = client.receive(Duration::from_secs(13));
                record.line(&format!("client u{number}: {id}: {}", describe(&answer)));
                match answer {
                    Ok(answer) if answer.status() == 503 => std::thread::sleep(Duration::from_secs(1)),
                    Ok(_) => {}
                    // Each upload has a connection of its own.
                    Err(_) => {}
                }
            }
        }));
    }
    // The platform kills a process that exceeds its memory.
    let mut peak_kb = [0; 2];
    let mut killed = None;
    while began_at.elapsed() < LENGTH {
        for (number, instance) in deployment.instances.iter_mut().enumerate() {
            if killed == Some(number) {
                continue;
            }
            let used_kb = instance.memory_kb();
            peak_kb[number] = peak_kb[number].max(used_kb);
            if used_kb > u64::from(MEMORY_MB) * 1_024 {
                record.line(&format!(
                    "platform: {} uses {used_kb} KB, more than {MEMORY_MB} MB",
                    instance.name
                ));
                instance.signal(SIGKILL, "SIGKILL");
                instance.wait_end(Duration::from_secs(2));
                killed = Some(number);
            } else if let Some(status) = instance.ended() {
                record.line(&format!(
                    "platform: {} has ended by itself: {status}",
                    instance.name
                ));
                killed = Some(number);
            }
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client ended early".to_owned())?;
    }
    record.line(&format!("platform: peak memory {peak_kb:?} KB"));
    println!("peak memory {peak_kb:?} KB");
    let cuts = cuts.lock().unwrap();
    let passed_on: Vec<&(String, usize, u64)> = cuts
        .iter()
        .filter(|(id, _, at_ms)| runs.offered(id, *at_ms))
        .collect();
    println!(
        "{} connections ended without an answer, {} after the request was passed on",
        cuts.len(),
        passed_on.len()
    );
    let mut broken = Vec::new();
    for number in 0..PLACES.len() {
        let lost: Vec<&str> = passed_on
            .iter()
            .filter(|(_, at, _)| *at == number)
            .map(|(id, ..)| id.as_str())
            .collect();
        if lost.len() > 3 {
            broken.push(format!(
                "LOST: {} passed {} requests on and closed their connections without an answer: {}",
                PLACES[number].name,
                lost.len(),
                lost.join(" ")
            ));
        }
    }
    if let Some(number) = killed {
        record.line(&format!("platform: {} ended", PLACES[number].name));
    }
    Ok(broken)
}

fn send_upload(client: &mut Client, id: &str, in_chunks: bool) -> std::io::Result<()> {
    let framing = match in_chunks {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {UPLOAD_BYTES}"),
    };
    let head = format!(
        "POST /surveys/work-900/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Request-Deadline: 12000\r\n{framing}\r\n\r\n"
    );
    client.connection.write(head.as_bytes())?;
    let piece = vec![b'x'; CHUNK_BYTES];
    for _ in 0..UPLOAD_BYTES / CHUNK_BYTES {
        if in_chunks {
            client
                .connection
                .write(format!("{CHUNK_BYTES:x}\r\n").as_bytes())?;
        }
        client.connection.write(&piece)?;
        if in_chunks {
            client.connection.write(b"\r\n")?;
        }
        std::thread::sleep(CHUNK_PAUSE);
    }
    if in_chunks {
        client.connection.write(b"0\r\n\r\n")?;
    }
    Ok(())
}
