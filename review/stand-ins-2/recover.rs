//! All processes are killed while the configuration is large, on machines with narrow links.

use crate::fleet::{Deployment, Instance};
use crate::http::Connection;
use crate::record::Record;
use crate::store::Store;
use crate::targets::{Target, Terms};
use crate::{Setting, Verdict, proxy};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// The link of each machine.
const LINK_MBPS: u64 = 10;

/// `big_config` at its largest dose, and how often it comes.
const ROUTES_ADDED: usize = 1_400;
const GROWTHS: usize = 3;

/// How long the processes are down after the kill, and `recoveryS`.
const DOWN: Duration = Duration::from_millis(660);
const RECOVERY_S: f64 = 15.0;

/// How long requests are sent after that.
const TAIL: Duration = Duration::from_secs(15);

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let failed = |error: std::io::Error| error.to_string();
    let net = (std::process::id() % 200 + 20) as u8;
    let ip = |last: u8| IpAddr::V4(Ipv4Addr::new(127, 80, net, last));
    let store = Store::start(ip(1)).map_err(failed)?;
    store.put("op/config", &configuration(1, 0));
    for number in 0..4 {
        let terms = Terms {
            id: format!("i-{number}"),
            service: "viewer".to_owned(),
            zone: "khomas-a".to_owned(),
            ip: ip(100 + number),
            slots: 8,
            work: Duration::from_millis(20),
            answer_bytes: 200,
        };
        Target::start(terms, &store, record).map_err(failed)?;
    }
    let ips = [ip(11), ip(12), ip(13)];
    let mut instances = Vec::new();
    for (number, own) in ips.iter().enumerate() {
        let deployment = Deployment {
            root: setting.root.clone(),
            folder: setting.folder.clone(),
            // The machine's link to the store.
            store: proxy::start(ip(21 + number as u8), store.address, LINK_MBPS).map_err(failed)?,
            memory_mb: 160,
            link_mbps: LINK_MBPS,
            grace_s: 6.0,
        };
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
    record.say("all machines are ready");
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = instances
        .iter()
        .enumerate()
        .map(|(number, instance)| {
            let front = instance.front();
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            thread::spawn(move || send_all(number, front, &record, &is_over))
        })
        .collect();
    for growth in 1..=GROWTHS {
        thread::sleep(Duration::from_secs(4));
        let grown = configuration(1 + growth as u64, growth * ROUTES_ADDED);
        store.put("op/config", &grown);
        record.say(format!("the configuration has {} bytes", grown.len()));
    }
    thread::sleep(Duration::from_secs(8));
    let (sent_before, served_before) = served_after(record, 0.0);
    if setting.has_trouble {
        record.say("all processes are killed");
        for instance in &mut instances {
            instance.kill();
        }
        thread::sleep(DOWN);
        for instance in &mut instances {
            instance.start(record).map_err(failed)?;
        }
    }
    let back_at = record.now();
    record.say("the machines are back");
    thread::sleep(Duration::from_secs_f64(RECOVERY_S) + TAIL);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let (sent, served) = served_after(record, back_at + RECOVERY_S);
    record.say(format!("of {sent} requests sent later than {RECOVERY_S} s after, {served} served"));
    record.say(format!("of {sent_before} requests sent before, {served_before} served"));
    if served_before * 4 < sent_before {
        return Err("less than a quarter was served before".to_owned());
    }
    Ok(served * 4 >= sent)
}

/// Returns how many requests were sent after a moment, and how many of these were served.
fn served_after(record: &Record, from: f64) -> (usize, usize) {
    let mut sent_at = HashMap::new();
    let (mut sent, mut served) = (0, 0);
    record.each(|at, line| {
        let words: Vec<&str> = line.split(' ').collect();
        match words.as_slice() {
            ["sent", id] => {
                sent_at.insert((*id).to_owned(), at);
                sent += usize::from(at > from);
            }
            ["answered", id, "200"] => {
                served += usize::from(sent_at.get(*id).is_some_and(|&at| at > from));
            }
            _ => {}
        }
    });
    (sent, served)
}

fn send_all(number: usize, front: SocketAddr, record: &Record, is_over: &AtomicBool) {
    let mut sent = 0;
    while !is_over.load(Ordering::SeqCst) {
        sent += 1;
        let id = format!("{number}x{sent:05}");
        record.note(format!("sent {id}"));
        let status = ask(front, &id);
        record.note(format!("answered {id} {status}"));
        thread::sleep(Duration::from_millis(150));
    }
}

fn ask(front: SocketAddr, id: &str) -> u16 {
    let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return 0;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
    let mut connection = Connection::new(stream);
    let request = format!(
        "GET /view/{id} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline: 4000\r\n\r\n"
    );
    let answer = connection.send(request.as_bytes()).and_then(|()| connection.message());
    answer.ok().flatten().map_or(0, |answer| answer.status())
}

fn configuration(version: u64, idle_routes: usize) -> String {
    let route = |name: &str, prefix: &str| {
        format!(
            r#"{{"resourceKind":"routes","metadata":{{"name":"{name}"}},"spec":{{"host":"a.example","pathPrefix":"{prefix}","type":"safe","timeoutS":1.5,"aimS":0.6,"priority":2,"service":"viewer","maxAttempts":2,"sessionAffinity":true,"allowedRegions":[]}}}}"#
        )
    };
    let mut resources = vec![route("r-view", "/view/")];
    for number in 0..idle_routes {
        resources.push(route(&format!("r-{number:05}"), &format!("/idle{number:05}/")));
    }
    resources.push(
        r#"{"resourceKind":"services","metadata":{"name":"viewer"},"spec":{"healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.1}}"#
            .to_owned(),
    );
    resources.push(
        r#"{"resourceKind":"limits","metadata":{"name":"limits"},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}"#
            .to_owned(),
    );
    let resources = resources.join(",");
    format!(r#"{{"configVersion":"r{version}","resources":[{resources}]}}"#)
}
