//! The listener for callers.

use crate::answer::{Answer, Refusal};
use crate::events::RequestEvent;
use crate::http::name;
use crate::lookup::lookup;
use crate::options::EntryOptions;
use crate::parts::{Parts, Recorder};
use crate::proxy::Proxy;
use crate::request_id::{new_request_id, request_id};
use crate::route::Route;
use crate::serve::{Handler, Received};
use http_types::{Method, StatusCode};
use std::net::SocketAddr;
use std::sync::Arc;

/// Answers callers.
#[derive(Debug)]
pub(crate) struct CallerHandler<P> {
    /// What the request path works with.
    pub(crate) parts: Arc<P>,
    /// The settings.
    pub(crate) options: Arc<EntryOptions>,
    /// What sends requests to upstreams.
    pub(crate) proxy: Proxy<P>,
}

impl<P: Parts> CallerHandler<P> {
    async fn answer(&self, request: Received, id: &str) -> Result<Answer, Refusal> {
        let bound_to = self.options.organisation.as_ref();
        match Route::parse(request.head.url.path()) {
            Route::Lookup if request.head.method != Method::Get => Err(Refusal::not_run(
                StatusCode::MethodNotAllowed,
                "method-not-allowed",
            )),
            Route::Lookup => lookup(
                &*self.parts,
                bound_to,
                self.options.lookup_ttl,
                &request.head.url,
                request.peer,
            ),
            Route::Service {
                organisation,
                service,
                path,
            } => {
                let target = crate::proxy::Target {
                    organisation,
                    service,
                    path,
                };
                self.proxy.answer(request, target, id).await
            }
            Route::Unknown => Err(Refusal::not_run(StatusCode::NotFound, "unknown-path")),
        }
    }
}

impl<P: Parts> Handler for CallerHandler<P> {
    async fn handle(&self, request: Received) -> Answer {
        let id = request_id(&request.head.head.headers);
        let answer = self.answer(request, &id).await;
        let mut answer = answer.unwrap_or_else(|refusal| refusal.answer(&id));
        answer.insert(name::REQUEST_ID, &id);
        answer
    }

    fn caller_gone(&self, caller: SocketAddr) {
        self.parts
            .recorder()
            .record(RequestEvent::CallerGone { caller });
    }

    fn bad_request(&self, caller: SocketAddr, refusal: &Refusal) -> String {
        let reason = refusal.reason;
        let event = RequestEvent::BadRequest { caller, reason };
        self.parts.recorder().record(event);
        new_request_id()
    }
}
