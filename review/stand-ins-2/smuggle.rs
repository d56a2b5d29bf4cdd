//! A client puts a request into the body of another one.
//!
//! Whoever sends a request states where it ends: what lies in its body is no request. Each kind of
//! call is sent with such a body, and no target may run what lies in it.

use crate::fleet::{Deployment, Instance};
use crate::http::Connection;
use crate::store::Store;
use crate::targets::{Target, Terms};
use crate::{Setting, Verdict};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// The calls of each kind.
const CALLS: u32 = 10;

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let failed = |error: std::io::Error| error.to_string();
    let net = (std::process::id() % 200 + 20) as u8;
    let ip = |last: u8| IpAddr::V4(Ipv4Addr::new(127, 79, net, last));
    let store = Store::start(ip(1)).map_err(failed)?;
    store.put("op/config", &configuration());
    for number in 0..2 {
        let terms = Terms {
            id: format!("i-{number}"),
            service: "notices".to_owned(),
            zone: "khomas-a".to_owned(),
            ip: ip(100 + number),
            slots: 3,
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
    let ips = [ip(11), ip(12)];
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
    thread::sleep(Duration::from_secs(5));
    for instance in &instances {
        let address = |port| SocketAddr::new(instance.ip, port);
        let calls = [
            ("front", address(8641), "POST /notices/a"),
            ("directory", address(8644), "GET /v1/resolve?name=a.example&region=khomas&zone=khomas-a"),
            ("ready", address(8640), "GET /v1/ready"),
        ];
        for (kind, address, line) in calls {
            for number in 0..CALLS {
                let id = format!("{}-{kind}-{number}", instance.name);
                let inner = format!(
                    "POST /notices/inner HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: inner-{id}\r\n\
                     X-Request-Deadline: 4000\r\nContent-Length: 0\r\n\r\n"
                );
                let body = if setting.has_trouble { inner } else { String::new() };
                let request = format!(
                    "{line} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: outer-{id}\r\n\
                     X-Request-Deadline: 4000\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                record.note(format!("sent outer-{id} to {kind}: {line}, body of {}", body.len()));
                let statuses = ask(address, &request).map_err(failed)?;
                record.note(format!("answered outer-{id} {statuses:?}"));
            }
        }
    }
    thread::sleep(Duration::from_secs(1));
    let mut inner = 0;
    record.each(|_, line| inner += usize::from(line.starts_with("run inner-")));
    record.say(format!("targets ran {inner} requests that lay in the bodies of others"));
    Ok(inner == 0)
}

/// Sends a request and returns the status codes of all that comes back.
fn ask(address: SocketAddr, request: &str) -> std::io::Result<Vec<u16>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_millis(300)))?;
    let mut connection = Connection::new(stream);
    connection.send(request.as_bytes())?;
    let mut statuses = Vec::new();
    while let Ok(Some(answer)) = connection.message() {
        statuses.push(answer.status());
    }
    Ok(statuses)
}

fn configuration() -> String {
    r#"{"configVersion":"r1","resources":[
{"resourceKind":"routes","metadata":{"name":"defect-filing"},"spec":{"host":"a.example",
"pathPrefix":"/notices/","type":"unsafe","timeoutS":2.0,"aimS":0.8,"priority":1,
"maxAttempts":2,"service":"notices","sessionAffinity":true,"allowedRegions":[]}},
{"resourceKind":"services","metadata":{"name":"notices"},"spec":{"maxConnections":360,
"coldStartS":3.0,"coldPerS":3.1,"healthPath":"/health"}},
{"resourceKind":"limits","metadata":{"name":"limits"},"spec":{"maxHeaderBytes":16384,
"maxBodyBytes":1048576,"headerTimeoutS":3.0,"idleTimeoutS":15.0}}]}"#
        .to_owned()
}
