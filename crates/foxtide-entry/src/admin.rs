//! HTTP pages for operators: health, readiness and admin pages.

use crate::answer::{
    Answer,
    Refusal, //
};
use crate::callers::record_rejected;
use crate::dependencies::{
    Admin,
    Dependencies, //
};
use crate::request_id::new_request_id;
use crate::serve::{
    Handler,
    ListenerState,
    ReceivedRequest, //
};
use foxtide_core::events::RequestId;
use http_types::{
    Method,
    StatusCode, //
};
use std::net::SocketAddr;
use std::sync::Arc;

const PLAIN: &str = "text/plain; charset=utf-8";

/// Handles requests on the admin listener.
#[derive(Debug)]
pub(crate) struct AdminHandler<P> {
    pub(crate) deps: Arc<P>,
    /// State of the caller listener, on which readiness depends.
    pub(crate) callers: Arc<ListenerState>,
}

impl<P: Dependencies> AdminHandler<P> {
    fn page(&self, request: &ReceivedRequest) -> Answer {
        if !matches!(request.head.method, Method::Get | Method::Head) {
            return refused(StatusCode::MethodNotAllowed, "method-not-allowed");
        }
        let url = &request.head.url;
        match url.path() {
            "/healthz" => plain(StatusCode::Ok, "ok\n"),
            "/readyz" => self.readiness(),
            path => match self.deps.admin().page(path, url.query()) {
                Some(page) => Answer::new(StatusCode::Ok, page.content_type, page.body),
                None => refused(StatusCode::NotFound, "unknown-page"),
            },
        }
    }

    fn readiness(&self) -> Answer {
        if self.callers.is_draining() {
            plain(StatusCode::ServiceUnavailable, "draining\n")
        } else if !self.deps.admin().is_ready() {
            plain(StatusCode::ServiceUnavailable, "no configuration\n")
        } else {
            plain(StatusCode::Ok, "ready\n")
        }
    }
}

fn plain(status: StatusCode, text: &str) -> Answer {
    Answer::new(status, PLAIN, text.as_bytes().to_vec())
}

fn refused(status: StatusCode, reason: &'static str) -> Answer {
    Refusal::not_run(status, reason).answer(new_request_id().as_str())
}

impl<P: Dependencies> Handler for AdminHandler<P> {
    async fn handle(&self, request: ReceivedRequest) -> Answer {
        self.page(&request)
    }

    fn record_disconnect(&self, _caller: SocketAddr) {}

    fn record_rejection(&self, caller: SocketAddr, refusal: &Refusal) -> RequestId {
        record_rejected(&*self.deps, caller, refusal)
    }
}
