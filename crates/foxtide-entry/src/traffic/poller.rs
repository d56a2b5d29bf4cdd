//! Polls the load of upstreams without recent reports.

use super::region::RegionTraffic;
use super::tables::TrafficTables;
use crate::answer::{
    Answer,
    AnswerBody, //
};
use crate::clock::Clock;
use crate::dependencies::Dependencies;
use crate::errors::Step;
use crate::options::EntryOptions;
use crate::request_id::new_request_id;
use crate::upstream::{
    Failure,
    Freshness,
    Pools,
    RequestIdEcho,
    UpstreamRequest,
    announces_drain,
    exchange,
    stated_rate, //
};
use foxtide_core::choice::{
    LoadReport,
    Poll,
    PollResult, //
};
use foxtide_core::time::MonotonicTime;
use foxtide_http::name;
use http_types::Method;
use smol::Executor;
use std::net::SocketAddr;
use std::sync::Arc;

/// A poll keeps its connection only if fewer than this many are idle.
const POLLED_CONNECTIONS: usize = 1;

/// Sends load polls to upstreams.
#[derive(Debug)]
pub(crate) struct Poller<P> {
    pub(crate) deps: Arc<P>,
    pub(crate) pools: Arc<Pools>,
    pub(crate) options: Arc<EntryOptions>,
}

/// Poll that is due, with the region of its upstream.
struct DuePoll {
    region: Arc<RegionTraffic>,
    poll: Poll,
}

impl<P: Dependencies> Poller<P> {
    /// Starts all polls that are due.
    pub(crate) fn start_due(self: &Arc<Self>, executor: &Executor<'static>) {
        let now = self.deps.clock().now();
        for due in self.deps.traffic().due_polls(now) {
            let poller = Arc::clone(self);
            let polling = async move { poller.poll(due).await };
            executor.spawn(polling).detach();
        }
    }

    async fn poll(&self, due: DuePoll) {
        let address = due.poll.upstream().address;
        let sent_at = self.deps.clock().now();
        let result = match self.request_load(address).await {
            Ok(answer) => {
                let stated = stated_rate(&answer.headers);
                let now = self.deps.clock().now();
                due.region.with_balancer(|balancer| {
                    balancer.record_polled_rate(&due.poll, stated, sent_at, now);
                });
                read_report(answer)
            }
            Err(failure) if failure.step == Step::Connect => PollResult::Unreachable,
            Err(_) => PollResult::TimedOut,
        };
        let now = self.deps.clock().now();
        due.region
            .with_balancer(|balancer| balancer.finish_poll(due.poll, result, now));
    }

    async fn request_load(&self, address: SocketAddr) -> Result<Answer, Failure> {
        let id = new_request_id();
        let path = &self.options.poll.load_path;
        let bytes = format!(
            "GET {path} HTTP/1.1\r\n{}: {address}\r\n{}: {id}\r\n\r\n",
            name::HOST,
            name::REQUEST_ID,
        );
        let request = UpstreamRequest {
            address,
            method: Method::Get,
            request: id.as_str(),
            request_id_echo: RequestIdEcho::Optional,
            bytes: bytes.as_bytes(),
            freshness: Freshness::Any,
            time_left: self.options.poll.time,
        };
        let now = self.deps.clock().now();
        let mut answered = exchange(&self.pools, &self.options.limits, &request, now).await?;
        if let Some(connection) = answered.connection.take() {
            let now = self.deps.clock().now();
            self.pools.put(address, connection, POLLED_CONNECTIONS, now);
        }
        Ok(answered.answer)
    }
}

fn read_report(answer: Answer) -> PollResult {
    let header = answer.headers.get(name::LOAD_METRICS);
    let header = header.and_then(|values| values.as_str().parse::<LoadReport>().ok());
    let body = match &answer.body {
        AnswerBody::Whole(bytes) => std::str::from_utf8(bytes).unwrap_or_default(),
        AnswerBody::Absent { .. } | AnswerBody::Long(_) => "",
    };
    PollResult::Answered {
        load: header.or_else(|| body.parse().ok()),
        draining: announces_drain(&answer.headers),
    }
}

impl TrafficTables {
    fn due_polls(&self, now: MonotonicTime) -> Vec<DuePoll> {
        let mut due = Vec::new();
        for traffic in self.all() {
            for service in traffic.services().values() {
                for region in service.regions().values() {
                    while let Some(poll) = region.with_balancer(|b| b.next_poll(now)) {
                        let region = Arc::clone(region);
                        due.push(DuePoll { region, poll });
                    }
                }
            }
        }
        due
    }
}
