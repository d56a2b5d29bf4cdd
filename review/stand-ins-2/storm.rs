//! A large configuration changes in quick succession.
//!
//! The version after these moves a route to another service and takes a key away from a tenant.
//! Requests that are sent later than the bounds after its acknowledgement may neither be run by the
//! old service nor with the key.

use crate::fleet::{Deployment, Instance};
use crate::http::Connection;
use crate::record::Record;
use crate::store::Store;
use crate::targets::{Target, Terms};
use crate::{Setting, Verdict};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The routes beside the one in use: `big_config` twice, at its largest dose of 1,400.
const IDLE_ROUTES: usize = 2 * 1_400;

/// The changes and the time from one to the next: `config_storm` for 1.5 s at gaps of 0.06 s.
const CHANGES: u32 = 25;
const GAP: Duration = Duration::from_millis(60);

/// `configApplyS` and `revokeS`.
const APPLY_S: f64 = 3.0;
const REVOKE_S: f64 = 5.0;

/// How long requests are sent after the last version.
const TAIL: Duration = Duration::from_secs(35);

/// The tenant's keys. The last version holds the first one alone.
const KEPT_KEY: &str = "key-of-acme-1";
const REVOKED_KEY: &str = "key-of-acme-2";

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let failed = |error: std::io::Error| error.to_string();
    let net = (std::process::id() % 200 + 20) as u8;
    let ip = |last: u8| IpAddr::V4(Ipv4Addr::new(127, 78, net, last));
    let store = Store::start(ip(1)).map_err(failed)?;
    let first = configuration(1, "viewer", true);
    record.say(format!("the configuration has {} bytes", first.len()));
    store.put("op/config", &first);
    for (number, service) in ["viewer", "viewer", "archive", "archive"].iter().enumerate() {
        let terms = Terms {
            id: format!("i-{number}"),
            service: (*service).to_owned(),
            zone: "khomas-a".to_owned(),
            ip: ip(100 + number as u8),
            slots: 8,
            work: Duration::from_millis(20),
            answer_bytes: 200,
        };
        Target::start(terms, &store, record).map_err(failed)?;
    }
    let deployment = Deployment {
        root: setting.root.clone(),
        folder: setting.folder.clone(),
        store: store.address,
        memory_mb: 260,
        link_mbps: 1_000,
        grace_s: 6.0,
    };
    let ips = [ip(11), ip(12), ip(13)];
    let mut instances = Vec::new();
    for (number, own) in ips.iter().enumerate() {
        let name = format!("edge-khomas-a-{number}");
        let mut instance = Instance::new(&name, *own, "khomas-a", &ips, &deployment);
        instance.start(record).map_err(failed)?;
        instances.push(instance);
    }
    for instance in &instances {
        if !instance.wait_until_ready(Duration::from_secs(15)) {
            return Err(format!("{} is not ready", instance.name));
        }
    }
    // Machines are in touch after 4 s.
    thread::sleep(Duration::from_secs(8));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = instances
        .iter()
        .enumerate()
        .flat_map(|(number, instance)| {
            let front = instance.front();
            [('k', KEPT_KEY), ('r', REVOKED_KEY)].map(|(letter, key)| {
                let (record, is_over) = (record.clone(), Arc::clone(&is_over));
                let name = format!("{letter}{number}");
                thread::spawn(move || send_all(&name, key, front, &record, &is_over))
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let mut version = 1;
    if setting.has_trouble {
        record.say("configurations in quick succession");
        let begins_at = Instant::now();
        for change in 0..CHANGES {
            version += 1;
            let document = configuration(version, "viewer", true);
            let due_at = begins_at + GAP * change;
            thread::sleep(due_at.saturating_duration_since(Instant::now()));
            store.put("op/config", &document);
        }
        let ends_at = begins_at + GAP * CHANGES;
        thread::sleep(ends_at.saturating_duration_since(Instant::now()));
    }
    version += 1;
    store.put("op/config", &configuration(version, "archive", false));
    let acknowledged_at = record.now();
    record.say(format!("r{version} is acknowledged: the route goes to archive, a key is gone"));
    thread::sleep(TAIL);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let late = Late::of(record, acknowledged_at);
    record.say(format!(
        "run by the old service though sent later than {APPLY_S} s after it: {}; last sent {:.3} s \
         after it",
        late.by_old_service, late.last_by_old_service_s
    ));
    record.say(format!(
        "run with the key that is gone though sent later than {REVOKE_S} s after it: {}; last sent \
         {:.3} s after it",
        late.with_revoked_key, late.last_with_revoked_key_s
    ));
    Ok(late.by_old_service == 0 && late.with_revoked_key == 0)
}

/// The requests that ran as only older versions allow.
#[derive(Default)]
struct Late {
    by_old_service: usize,
    last_by_old_service_s: f64,
    with_revoked_key: usize,
    last_with_revoked_key_s: f64,
}

impl Late {
    /// Evaluates what clients have sent and targets have run.
    fn of(record: &Record, acknowledged_at: f64) -> Self {
        let mut late = Self::default();
        let mut sent_at: HashMap<String, f64> = HashMap::new();
        record.each(|at, line| {
            let words: Vec<&str> = line.split(' ').collect();
            match words.as_slice() {
                ["sent", id] => {
                    sent_at.insert((*id).to_owned(), at);
                }
                ["run", id, .., service] => {
                    let after_s = sent_at.get(*id).copied().unwrap_or(0.0) - acknowledged_at;
                    if after_s > APPLY_S && *service == "viewer" {
                        late.by_old_service += 1;
                        late.last_by_old_service_s = after_s;
                    }
                    if after_s > REVOKE_S && id.starts_with('r') {
                        late.with_revoked_key += 1;
                        late.last_with_revoked_key_s = after_s;
                    }
                }
                _ => {}
            }
        });
        late
    }
}

/// Sends requests to an instance one after the other until the case is over.
fn send_all(name: &str, key: &str, front: SocketAddr, record: &Record, is_over: &AtomicBool) {
    let mut sent = 0;
    while !is_over.load(Ordering::SeqCst) {
        sent += 1;
        let id = format!("{name}x{sent:05}");
        record.note(format!("sent {id}"));
        let status = ask(front, key, &id);
        record.note(format!("answered {id} {status}"));
        thread::sleep(Duration::from_millis(150));
    }
}

fn ask(front: SocketAddr, key: &str, id: &str) -> u16 {
    let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return 0;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
    let mut connection = Connection::new(stream);
    let request = format!(
        "GET /view/{id} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\n\
         Authorization: Bearer {key}\r\nX-Request-Deadline: 4000\r\n\r\n"
    );
    let answer = connection.send(request.as_bytes()).and_then(|()| connection.message());
    answer.ok().flatten().map_or(0, |answer| answer.status())
}

fn configuration(version: u64, service: &str, has_both_keys: bool) -> String {
    let route = |name: &str, prefix: &str, service: &str| {
        format!(
            r#"{{"resourceKind":"routes","metadata":{{"name":"{name}"}},"spec":{{"host":"a.example","pathPrefix":"{prefix}","type":"safe","timeoutS":1.5,"aimS":0.6,"priority":2,"service":"{service}","maxAttempts":2,"sessionAffinity":true,"allowedRegions":[]}}}}"#
        )
    };
    let service_entry = |name: &str| {
        format!(
            r#"{{"resourceKind":"services","metadata":{{"name":"{name}"}},"spec":{{"healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.1}}}}"#
        )
    };
    let mut resources = vec![route("r-view", "/view/", service)];
    for number in 0..IDLE_ROUTES {
        resources.push(route(&format!("r-{number:05}"), &format!("/idle{number:05}/"), "viewer"));
    }
    resources.push(service_entry("viewer"));
    resources.push(service_entry("archive"));
    resources.push(
        r#"{"resourceKind":"limits","metadata":{"name":"limits"},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}"#
            .to_owned(),
    );
    let keys = if has_both_keys {
        format!("\"{KEPT_KEY}\",\"{REVOKED_KEY}\"")
    } else {
        format!("\"{KEPT_KEY}\"")
    };
    resources.push(format!(
        r#"{{"resourceKind":"tenants","metadata":{{"name":"acme"}},"spec":{{"apiKeys":[{keys}],"ratePerS":0,"burst":0}}}}"#
    ));
    let resources = resources.join(",");
    format!(r#"{{"configVersion":"r{version}","baseVersion":"r{}","resources":[{resources}]}}"#, version - 1)
}
