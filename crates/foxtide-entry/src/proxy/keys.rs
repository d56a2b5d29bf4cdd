//! Idempotency keys: a request with a key is executed at most once.
//!
//! The only lock guards the key table and is never held across an await.

use crate::answer::{
    Answer,
    AnswerBody,
    Refusal, //
};
use crate::clock::Clock;
use crate::dependencies::{
    Dependencies,
    Directory, //
};
use crate::request_context::Target;
use crate::serve::ReceivedRequest;
use foxtide_core::events::{
    EventCode,
    RequestId, //
};
use foxtide_core::explain::Rule;
use foxtide_core::idempotency::{
    Begin,
    Claim,
    Fingerprint,
    IdempotencyKey,
    KeyError,
    RejectionReason,
    ReplayableAnswer,
    Table, //
};
use foxtide_core::outcome::Outcome;
use foxtide_core::time::WallTime;
use foxtide_core::units::ByteSize;
use foxtide_http::name;
use http_types::StatusCode;
use http_types::headers::Headers;
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::time::Duration;

/// Approximate size of the headers of a stored answer.
const STORED_HEADERS_BYTES: u64 = 512;

/// Idempotency keys that this process owns.
pub(crate) type KeyTable = Arc<Mutex<Table<StoredAnswer>>>;

/// Answer of an upstream, stored for replay.
#[derive(Clone, Debug)]
pub(crate) struct StoredAnswer(Arc<StoredAnswerParts>);

#[derive(Debug)]
struct StoredAnswerParts {
    status: StatusCode,
    headers: Headers,
    body: Vec<u8>,
}

/// Answer to a keyed request that is not executed.
#[derive(Debug)]
pub(super) struct ImmediateAnswer {
    pub(super) answer: Result<Answer, Refusal>,
    /// Event to record.
    pub(super) code: EventCode,
    /// Rule that decided.
    pub(super) rule: Rule,
}

/// Claim to execute a keyed request, abandoned on drop.
pub(super) struct ClaimGuard {
    table: KeyTable,
    claim: Option<Claim>,
    written: Arc<AtomicBool>,
}

impl ReplayableAnswer for StoredAnswer {
    fn size(&self) -> ByteSize {
        ByteSize::from_bytes(self.0.body.len() as u64 + STORED_HEADERS_BYTES)
    }
}

impl StoredAnswer {
    fn size_of(answer: &Answer) -> ByteSize {
        let body_bytes = match &answer.body {
            AnswerBody::Whole(bytes) => bytes.len() as u64,
            AnswerBody::Absent { .. } => 0,
            AnswerBody::Long(_) => return ByteSize::from_bytes(u64::MAX),
        };
        ByteSize::from_bytes(body_bytes + STORED_HEADERS_BYTES)
    }

    fn of(answer: &Answer) -> Self {
        let body = match &answer.body {
            AnswerBody::Whole(bytes) => bytes.clone(),
            // A long body is too large to be stored.
            AnswerBody::Absent { .. } | AnswerBody::Long(_) => Vec::new(),
        };
        Self(Arc::new(StoredAnswerParts {
            status: answer.status,
            headers: answer.headers.clone(),
            body,
        }))
    }

    fn answer(&self) -> Answer {
        let mut answer = Answer {
            status: self.0.status,
            headers: self.0.headers.clone(),
            body: AnswerBody::Whole(self.0.body.clone()),
        };
        answer.insert(name::OUTCOME, Outcome::Done.as_str());
        answer
    }
}

impl ClaimGuard {
    /// Records that the first byte is about to be sent.
    pub(super) fn mark_written(&self) {
        if let Some(claim) = &self.claim {
            self.table.lock().mark_written(claim);
        }
        self.written.store(true, Ordering::Release);
    }

    /// Returns the flag that tells whether a byte may have been sent.
    pub(super) fn written_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.written)
    }

    /// Records that the upstream provably did not execute the request.
    pub(super) fn mark_not_run(&self) {
        if let Some(claim) = &self.claim {
            self.table.lock().mark_not_run(claim);
        }
        self.written.store(false, Ordering::Release);
    }

    /// Completes the claim and stores the answer if it fits.
    pub(super) fn finish(mut self, answer: &Answer) {
        let Some(claim) = self.claim.take() else {
            return;
        };
        // Copied without holding the lock, and only if it fits.
        let storable = self.table.lock().can_store(StoredAnswer::size_of(answer));
        let stored = storable.then(|| StoredAnswer::of(answer));
        let mut table = self.table.lock();
        match stored {
            Some(stored) => table.finish(claim, stored),
            None => table.finish_without_answer(claim),
        }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            self.table.lock().abandon(claim);
        }
    }
}

/// Request with an idempotency key.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeyedRequest<'a> {
    pub(super) received: &'a ReceivedRequest,
    pub(super) target: &'a Target,
    /// Request id.
    pub(super) id: &'a RequestId,
    /// Key as sent by the caller.
    pub(super) key: &'a str,
}

/// Claims the key of a request, or returns the answer to a request that must
/// not be executed.
pub(super) fn begin<P: Dependencies>(
    deps: &P,
    table: &KeyTable,
    request: KeyedRequest<'_>,
) -> Result<ClaimGuard, ImmediateAnswer> {
    let key: IdempotencyKey = request
        .key
        .parse()
        .map_err(|error| ImmediateAnswer::malformed(&error))?;
    let fingerprint = request.fingerprint();
    let wall: WallTime = deps.clock().wall();
    let begun = table.lock().begin(&key, fingerprint, wall);
    match begun {
        Begin::Run(claim) => Ok(ClaimGuard {
            table: Arc::clone(table),
            claim: Some(claim),
            written: Arc::default(),
        }),
        Begin::Replay(stored) => Err(ImmediateAnswer::replayed(&stored)),
        Begin::InProgress { retry_after } => Err(ImmediateAnswer::in_progress(retry_after)),
        Begin::Reject(rejection) => Err(ImmediateAnswer::refused(
            rejection.reason,
            rejection.retry_after,
        )),
        Begin::NotOwner => Err(redirect_to_owner(deps, request, &key)),
    }
}

impl ImmediateAnswer {
    fn replayed(stored: &StoredAnswer) -> Self {
        Self {
            answer: Ok(stored.answer()),
            code: EventCode::KeyReplayed,
            rule: Rule::KeyReplayed,
        }
    }

    fn in_progress(retry_after: Duration) -> Self {
        let refusal = Refusal {
            status: StatusCode::Conflict,
            outcome: Outcome::Unknown,
            reason: "key-in-progress",
            retry_after,
        };
        Self {
            answer: Err(refusal),
            code: EventCode::KeyInProgress,
            rule: Rule::KeyRefused,
        }
    }

    fn malformed(error: &KeyError) -> Self {
        let reason = match error {
            KeyError::NoOwner { .. } => "key-without-owner",
            KeyError::Owner { .. } => "key-with-malformed-owner",
            KeyError::Uuid { .. } => "key-without-uuid-v7",
        };
        Self {
            answer: Err(Refusal::not_run(StatusCode::BadRequest, reason)),
            code: EventCode::KeyMalformed,
            rule: Rule::KeyRefused,
        }
    }

    fn refused(reason: RejectionReason, retry_after: Option<Duration>) -> Self {
        let status = StatusCode::try_from(reason.status());
        let refusal = Refusal {
            status: status.unwrap_or(StatusCode::Conflict),
            outcome: reason.outcome(),
            reason: reason.as_str(),
            retry_after: retry_after.unwrap_or_default(),
        };
        Self {
            answer: Err(refusal),
            code: rejection_code(reason),
            rule: Rule::KeyRefused,
        }
    }
}

fn rejection_code(reason: RejectionReason) -> EventCode {
    match reason {
        RejectionReason::OwnerGone => EventCode::KeyOwnerGone,
        RejectionReason::KeyReused => EventCode::KeyReused,
        RejectionReason::AnswerLost => EventCode::KeyAnswerLost,
        RejectionReason::AnswerDropped => EventCode::KeyAnswerDropped,
        RejectionReason::KeyExpired => EventCode::KeyExpired,
        RejectionReason::KeyFromFuture => EventCode::KeyFromFuture,
        RejectionReason::TableFull => EventCode::KeyTableFull,
    }
}

impl KeyedRequest<'_> {
    fn fingerprint(&self) -> Fingerprint {
        let query = self.received.head.url.query().unwrap_or_default();
        Fingerprint::of([
            self.target.organisation.as_str().as_bytes(),
            self.target.service.as_str().as_bytes(),
            self.received.head.method.as_ref().as_bytes(),
            self.target.path.as_bytes(),
            query.as_bytes(),
            &self.received.body,
        ])
    }

    /// Returns the URL of the request at another instance.
    fn location(&self, address: SocketAddr) -> String {
        let url = &self.received.head.url;
        let query = url.query().map(|query| format!("?{query}"));
        let query = query.unwrap_or_default();
        format!("http://{address}{}{query}", url.path())
    }
}

/// Redirects the caller to the instance that owns its key.
fn redirect_to_owner<P: Dependencies>(
    deps: &P,
    request: KeyedRequest<'_>,
    key: &IdempotencyKey,
) -> ImmediateAnswer {
    let Some(address) = deps.directory().address_of(&key.owner().instance) else {
        return ImmediateAnswer::refused(RejectionReason::OwnerGone, None);
    };
    let refusal = Refusal {
        status: StatusCode::TemporaryRedirect,
        // Only the owner knows whether the request was executed.
        outcome: Outcome::Unknown,
        reason: "key-of-other-instance",
        retry_after: Duration::ZERO,
    };
    let mut answer = refusal.answer(request.id.as_str());
    answer.insert(name::LOCATION, &request.location(address));
    ImmediateAnswer {
        answer: Ok(answer),
        code: EventCode::KeyRedirected,
        rule: Rule::KeyOwner,
    }
}
