//! Tests the limits and injected faults of the upstream and instance list test servers.

use foxtide_core::ids::InstanceId;
use foxtide_testing::{
    AnswerFault,
    Availability,
    FaultSpan,
    HttpAnswer,
    InstanceListOptions,
    InstanceListServer,
    ListedInstance,
    ListedState,
    LoadReport,
    ServiceTime,
    UpstreamOptions,
    UpstreamServer,
    http_call, //
};
use http_types::Method;
use smol::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use smol::net::TcpStream;
use std::time::{
    Duration,
    Instant, //
};

async fn upstream() -> UpstreamServer {
    let options = UpstreamOptions::default();
    UpstreamServer::start(options).await.unwrap()
}

async fn unlock(upstream: &UpstreamServer, key: &str) -> http_types::Result<HttpAnswer> {
    let headers = [("idempotency-key", key), ("foxtide-request-id", "r-1")];
    http_call(upstream.address(), Method::Post, "/unlock", &headers, b"7").await
}

/// Sends one request and returns all bytes received until the connection closes.
async fn raw_answer(upstream: &UpstreamServer) -> String {
    let mut stream = TcpStream::connect(upstream.address()).await.unwrap();
    let request = b"GET /status HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.ok();
    String::from_utf8(bytes).unwrap()
}

#[test]
fn verify_an_answer_names_its_request() {
    smol::block_on(async {
        let upstream = upstream().await;
        let answer = unlock(&upstream, "k-1").await.unwrap();
        assert_eq!(answer.header("foxtide-request-id"), Some("r-1"));
        assert!(answer.text().contains("\"idempotency_key\":\"k-1\""));
        assert!(
            answer
                .header("endpoint-load-metrics")
                .unwrap()
                .starts_with("JSON {")
        );
        assert_eq!(upstream.runs_of("k-1"), 1);
        assert_eq!(upstream.runs()[0].request_id.as_deref(), Some("r-1"));
    });
}

#[test]
fn verify_slots_and_queue_bound_what_runs() {
    smol::block_on(async {
        let options = UpstreamOptions {
            slots: 2,
            queue: 1,
            service_time: ServiceTime::Fixed(Duration::from_secs(60)),
            ..Default::default()
        };
        let upstream = UpstreamServer::start(options).await.unwrap();
        let address = upstream.address();
        let call = |n: usize| async move {
            let path = format!("/status/{n}");
            http_call(address, Method::Get, &path, &[], b"").await.ok()
        };
        let held: Vec<_> = (0..3).map(|n| smol::spawn(call(n))).collect();
        while upstream.stats().received < 3 {
            smol::future::yield_now().await;
        }
        let refused = call(3).await.unwrap();
        assert_eq!(refused.status, 503);
        assert_eq!(refused.header("foxtide-outcome"), Some("not-run"));
        let stats = upstream.stats();
        assert_eq!((stats.running_peak, stats.waiting, stats.shed), (2, 1, 1));
        drop(held);
        while upstream.stats().cancelled < 2 {
            smol::future::yield_now().await;
        }
    });
}

#[test]
fn verify_a_lost_answer_still_counts_as_a_run() {
    smol::block_on(async {
        let upstream = upstream().await;
        upstream.set_fault(AnswerFault::LostAfterRun, FaultSpan::Next(1));
        assert!(unlock(&upstream, "k-1").await.is_err());
        upstream.set_fault(AnswerFault::LostBeforeRun, FaultSpan::Next(1));
        assert!(unlock(&upstream, "k-2").await.is_err());
        assert!(unlock(&upstream, "k-3").await.is_ok());
        let runs = ["k-1", "k-2", "k-3"].map(|key| upstream.runs_of(key));
        assert_eq!(runs, [1, 0, 1]);
    });
}

#[test]
fn verify_answer_faults_malform_the_answer() {
    smol::block_on(async {
        let upstream = upstream().await;
        let whole = raw_answer(&upstream).await;
        upstream.set_fault(AnswerFault::Doubled, FaultSpan::Next(1));
        assert_eq!(
            raw_answer(&upstream).await.matches("HTTP/1.1 200").count(),
            2
        );
        upstream.set_fault(AnswerFault::Truncated, FaultSpan::Next(1));
        assert_eq!(raw_answer(&upstream).await.len(), whole.len() / 2);
        upstream.set_answers_early(true);
        assert!(raw_answer(&upstream).await.contains("earlyHTTP/1.1 200"));
        assert_eq!(upstream.runs().len(), 4);
        upstream.set_answers_early(false);
        for fault in [AnswerFault::LengthTooLong, AnswerFault::LengthTooShort] {
            upstream.set_fault(fault, FaultSpan::Next(1));
            let answer = raw_answer(&upstream).await;
            let (head, body) = answer.split_once("\r\n\r\n").unwrap();
            assert!(!head.contains(&format!("content-length: {}", body.len())));
        }
    });
}

#[test]
fn verify_answers_report_shedding_draining_and_a_fixed_load() {
    smol::block_on(async {
        let upstream = upstream().await;
        upstream.set_draining(true);
        upstream.set_load_report(LoadReport::Fixed(0.0));
        let answer = unlock(&upstream, "k-1").await.unwrap();
        assert_eq!(answer.header("foxtide-upstream-state"), Some("draining"));
        let load = answer.header("endpoint-load-metrics").unwrap();
        assert!(load.contains("\"application_utilization\":0.0000"));
        upstream.set_shedding(true);
        let refused = unlock(&upstream, "k-2").await.unwrap();
        assert_eq!(refused.header("retry-after"), Some("1"));
        assert_eq!(upstream.runs_of("k-2"), 0);
    });
}

#[test]
fn verify_a_killed_upstream_comes_back_on_its_address() {
    smol::block_on(async {
        let upstream = upstream().await;
        upstream.kill().await;
        assert!(unlock(&upstream, "k-1").await.is_err());
        upstream.revive().await;
        let revived = Instant::now();
        assert!(unlock(&upstream, "k-1").await.is_ok());
        assert_eq!(upstream.received_after(revived), 1);
    });
}

#[test]
fn verify_a_silent_upstream_takes_requests_and_says_nothing() {
    smol::block_on(async {
        let upstream = upstream().await;
        upstream.set_availability(Availability::Silent).await;
        let call = unlock(&upstream, "k-1");
        let end = smol::future::or(async { Some(call.await) }, async {
            while upstream.open_connections() == 0 {
                smol::future::yield_now().await;
            }
            None
        });
        assert!(end.await.is_none());
        assert_eq!(upstream.runs_of("k-1"), 0);
    });
}

#[test]
fn verify_the_list_shows_changes_after_its_lag() {
    smol::block_on(async {
        let options = InstanceListOptions {
            lag: Duration::from_secs(3_600),
            ..Default::default()
        };
        let list = InstanceListServer::start(options).await.unwrap();
        list.set_instances(vec![ListedInstance {
            instance: "i-1".parse::<InstanceId>().unwrap(),
            region: "bru".parse().unwrap(),
            availability_zone: "bru-a".parse().unwrap(),
            caller_address: "127.0.0.1:80".parse().unwrap(),
            peer_address: "127.0.0.1:81".parse().unwrap(),
            state: ListedState::Live,
        }]);
        let read = async || {
            let answer = http_call(list.address(), Method::Get, "/v1/instances", &[], b"");
            answer.await.unwrap().text()
        };
        assert_eq!(read().await, "[]");
        list.set_lag(Duration::ZERO);
        assert!(read().await.contains("\"state\":\"live\""));
        assert_eq!(list.calls(), 2);
    });
}
