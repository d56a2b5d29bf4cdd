//! Requests on the caller listener: look-ups and requests for services.

use crate::answer::{
    Answer,
    Refusal, //
};
use crate::dependencies::Dependencies;
use crate::lookup::lookup;
use crate::options::EntryOptions;
use crate::proxy::Proxy;
use crate::request_context::Target;
use crate::request_id::{
    new_request_id,
    request_id, //
};
use crate::route::Route;
use crate::serve::{
    Handler,
    ReceivedRequest, //
};
use foxtide_core::events::{
    EventCode,
    EventFields,
    RequestId, //
};
use foxtide_http::name;
use http_types::{
    Method,
    StatusCode, //
};
use std::net::SocketAddr;
use std::sync::Arc;

/// Handles requests on the caller listener.
#[derive(Debug)]
pub(crate) struct CallerHandler<P> {
    pub(crate) deps: Arc<P>,
    pub(crate) options: Arc<EntryOptions>,
    pub(crate) proxy: Arc<Proxy<P>>,
    /// Owner id of this process in idempotency keys, sent in each answer.
    pub(crate) owner: String,
}

impl<P: Dependencies> CallerHandler<P> {
    async fn answer(&self, request: ReceivedRequest, id: RequestId) -> Result<Answer, Refusal> {
        match Route::parse(request.head.url.path()) {
            Route::Lookup if request.head.method != Method::Get => Err(Refusal::not_run(
                StatusCode::MethodNotAllowed,
                "method-not-allowed",
            )),
            Route::Lookup => {
                let url = &request.head.url;
                lookup(&*self.deps, &self.options, url, request.peer, id)
            }
            Route::Service {
                organisation,
                service,
                path,
            } => {
                let target = Target {
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

impl<P: Dependencies> Handler for CallerHandler<P> {
    async fn handle(&self, request: ReceivedRequest) -> Answer {
        let id = request_id(&request.head.head.headers);
        let answer = self.answer(request, id.clone()).await;
        let mut answer = answer.unwrap_or_else(|refusal| refusal.answer(id.as_str()));
        answer.insert(name::REQUEST_ID, id.as_str());
        answer.insert(name::OWNER, &self.owner);
        answer
    }

    fn record_disconnect(&self, caller: SocketAddr) {
        let fields = EventFields::detail(format!("caller={caller}"));
        let recorder = self.deps.recorder();
        recorder.record(EventCode::RequestCancelled, fields);
    }

    fn record_rejection(&self, caller: SocketAddr, refusal: &Refusal) -> RequestId {
        record_rejected(&*self.deps, caller, refusal)
    }
}

/// Records a request that was rejected before routing and returns its new id.
pub(crate) fn record_rejected<P: Dependencies>(
    deps: &P,
    caller: SocketAddr,
    refusal: &Refusal,
) -> RequestId {
    let request = new_request_id();
    let fields = EventFields {
        request: Some(request.clone()),
        detail: format!("caller={caller} reason={}", refusal.reason),
        ..EventFields::default()
    };
    deps.recorder().record(EventCode::RequestRejected, fields);
    request
}
