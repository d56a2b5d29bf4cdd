//! Runs the program with platform settings: command line, logs, metrics, signals.

use foxtide_http::{
    BufferedStream,
    WholeResponse,
    read_response, //
};
use serde_json::Value;
use std::fs;
use std::io::{
    BufRead,
    BufReader,
    Lines, //
};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{
    Child,
    ChildStdout,
    Command,
    Stdio, //
};

/// Returns the environment variable with the settings path. Joined from parts so
/// that only the platform adapter contains the full name.
fn settings_variable() -> String {
    ["FOXTIDE", "CONFIG"].join("_")
}

/// Returns settings with free ports for all listeners and an unreachable store.
fn settings(burst: u32) -> String {
    let name = ["node", "Name"].concat();
    let burst_name = ["retry", "Burst"].concat();
    format!(
        r#"
[self]
{name} = "edge-1"
zone = "khomas-a"
region = "khomas"
[network.listen]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"
control = "127.0.0.1:0"
directory = "127.0.0.1:0"
[network.zones]
khomas-a = "khomas"
[provider.provider]
address = "127.0.0.1:9"
[terms.bounds]
graceS = 1.5
{burst_name} = {burst}
"#
    )
}

struct Process {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
    settings: PathBuf,
}

impl Process {
    fn start(name: &str) -> Self {
        let settings_file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::write(&settings_file, settings(60)).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_foxtide"))
            .args(["--platform", "--metrics-port", "0"])
            .env(settings_variable(), &settings_file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let output = child.stdout.take().unwrap();
        Self {
            child,
            lines: BufReader::new(output).lines(),
            settings: settings_file,
        }
    }

    /// Returns the next log line of an event.
    fn wait_for_event(&mut self, event: &str) -> Value {
        loop {
            let line = self.lines.next().expect("the process still runs").unwrap();
            let line: Value = serde_json::from_str(&line).unwrap();
            if line["event"] == event {
                return line;
            }
        }
    }

    fn signal(&self, signal: &str) {
        let sent = Command::new("kill")
            .args([signal, &self.child.id().to_string()])
            .status();
        assert!(sent.unwrap().success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn get(address: &str, path: &str) -> WholeResponse {
    let address: SocketAddr = address.parse().unwrap();
    smol::block_on(async {
        let mut stream = BufferedStream::connect(address, None).await.unwrap();
        let request = format!("GET {path} HTTP/1.1\r\nhost: a.example\r\n\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
        read_response(&mut stream, "GET", 1 << 20).await.unwrap()
    })
}

#[test]
fn verify_signals_logs_and_metrics_of_the_program() {
    let mut process = Process::start("platform-signals.toml");
    let started = process.wait_for_event("process-started");
    assert_eq!(started["number"], 1001);
    let callers = started["callers"].as_str().unwrap().to_owned();
    let metrics = started["metrics"].as_str().unwrap();
    let metrics = metrics.trim_start_matches("Some(").trim_end_matches(')');
    let lost = process.wait_for_event("store-unreachable");
    assert!(lost["cause"].as_str().unwrap().contains("127.0.0.1:9"));

    let response = get(&callers, "/nothing/");
    assert_eq!(response.head.status, 503);
    let failed = process.wait_for_event("request-failed");
    assert_eq!(failed["reason"], "no_configuration_yet");
    let text = String::from_utf8(get(metrics, "/metrics").body).unwrap();
    assert!(text.contains("foxtide_requests_total"), "{text}");
    assert!(text.contains("foxtide_request_seconds_bucket"), "{text}");
    assert_eq!(get(metrics, "/else").head.status, 404);

    fs::write(&process.settings, settings(50)).unwrap();
    process.signal("-HUP");
    let reloaded = process.wait_for_event("settings-reloaded");
    assert_eq!(reloaded["bounds_changed"], true);
    assert_eq!(reloaded["needs_restart"], false);
    fs::write(&process.settings, "nonsense").unwrap();
    process.signal("-HUP");
    let rejected = process.wait_for_event("settings-rejected");
    let cause = rejected["cause"].as_str().unwrap();
    assert!(cause.contains("platform-signals.toml"), "{cause}");

    process.signal("-TERM");
    process.wait_for_event("process-stopping");
    process.wait_for_event("process-stopped");
    assert!(process.child.wait().unwrap().success());
}

#[test]
fn verify_unread_output_does_not_block_requests() {
    let mut process = Process::start("platform-unread.toml");
    let started = process.wait_for_event("process-started");
    let callers: SocketAddr = started["callers"].as_str().unwrap().parse().unwrap();
    // Each request logs a line; the pipe buffers only a few hundred lines.
    smol::block_on(async {
        let mut stream = BufferedStream::connect(callers, None).await.unwrap();
        let request = "GET /nothing/ HTTP/1.1\r\nhost: a.example\r\n\r\n";
        for _ in 0..20_000 {
            stream.write_all(request.as_bytes()).await.unwrap();
            let response = read_response(&mut stream, "GET", 1_024).await.unwrap();
            assert_eq!(response.head.status, 503);
        }
    });
    process.wait_for_event("lines-left-out");
}

#[test]
fn verify_invalid_settings_and_arguments_fail_with_an_error() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("platform-bad.toml");
    fs::write(&file, settings(60).replace("khomas-a\"", "Khomas A\"")).unwrap();
    let run = |file: Option<&PathBuf>, arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_foxtide"));
        command.args(arguments).env_remove(settings_variable());
        if let Some(file) = file {
            command.env(settings_variable(), file);
        }
        let output = command.output().unwrap();
        assert!(!output.status.success());
        String::from_utf8(output.stderr).unwrap()
    };
    let error = run(Some(&file), &["--platform"]);
    assert!(error.contains("platform-bad.toml"), "{error}");
    assert!(
        error.contains("Khomas A") && error.contains("valid"),
        "{error}"
    );
    let checked = file.to_str().unwrap();
    let error = run(None, &["--platform", "--check-settings", checked]);
    assert!(error.contains("Khomas A"), "{error}");
    let error = run(None, &["--platform"]);
    assert!(error.contains(&settings_variable()), "{error}");
    let error = run(None, &["--metrics-port", "1"]);
    assert!(error.contains("--platform"), "{error}");
}

/// Unread log lines must not block requests. Each line is written, left out to
/// bound the volume, or dropped, and counted.
#[test]
fn verify_requests_do_not_wait_for_standard_output() {
    const REQUESTS: usize = 3_000;
    let mut process = Process::start("platform-requests.toml");
    let started = process.wait_for_event("process-started");
    let callers: SocketAddr = started["callers"].as_str().unwrap().parse().unwrap();
    smol::block_on(async {
        let mut stream = BufferedStream::connect(callers, None).await.unwrap();
        for _ in 0..REQUESTS {
            let request = b"GET /nothing/ HTTP/1.1\r\nhost: a.example\r\n\r\n";
            stream.write_all(request).await.unwrap();
            let response = read_response(&mut stream, "GET", 1 << 20).await.unwrap();
            assert_eq!(response.head.status, 503);
        }
    });
    let mut counted = 0;
    while counted < REQUESTS {
        let line = process
            .lines
            .next()
            .expect("the process still runs")
            .unwrap();
        let line: Value = serde_json::from_str(&line).unwrap();
        let count = |field: &str| line[field].as_u64().unwrap() as usize;
        counted += match line["event"].as_str().unwrap() {
            "request-failed" => 1,
            "lines-left-out" => count("failed"),
            "lines-dropped" => count("lines"),
            _ => 0,
        };
    }
    assert_eq!(counted, REQUESTS);
}
