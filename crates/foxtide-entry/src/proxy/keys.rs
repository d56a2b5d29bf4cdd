//! Requests with an idempotency key: at most one run, whatever is retried.
//!
//! Locks: one, around the table, never held while a task waits.

use crate::answer::{
    Answer,
    AnswerBody,
    Refusal, //
};
use crate::clock::Clock;
use crate::facts::Target;
use crate::parts::{
    Directory,
    Parts, //
};
use crate::serve::Received;
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
    RefusalReason,
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

/// About what the headers of a kept answer take.
const KEPT_HEADERS_BYTES: u64 = 512;

/// The keys of this process.
pub(crate) type KeyTable = Arc<Mutex<Table<Kept>>>;

/// An upstream's answer, kept to be given again.
#[derive(Clone, Debug)]
pub(crate) struct Kept(Arc<KeptParts>);

#[derive(Debug)]
struct KeptParts {
    status: StatusCode,
    headers: Headers,
    body: Vec<u8>,
}

/// What a request with a key gets without a run.
#[derive(Debug)]
pub(super) struct Settled {
    /// Its answer.
    pub(super) answer: Result<Answer, Refusal>,
    /// What happened.
    pub(super) code: EventCode,
    /// The rule that decided.
    pub(super) rule: Rule,
}

/// The right to run a key; given back when it is dropped.
pub(super) struct HeldClaim {
    table: KeyTable,
    claim: Option<Claim>,
    written: Arc<AtomicBool>,
}

impl ReplayableAnswer for Kept {
    fn size(&self) -> ByteSize {
        ByteSize::from_bytes(self.0.body.len() as u64 + KEPT_HEADERS_BYTES)
    }
}

impl Kept {
    fn size_of(answer: &Answer) -> ByteSize {
        let body_bytes = match &answer.body {
            AnswerBody::Whole(bytes) => bytes.len() as u64,
            AnswerBody::Absent { .. } => 0,
            AnswerBody::Long(_) => return ByteSize::from_bytes(u64::MAX),
        };
        ByteSize::from_bytes(body_bytes + KEPT_HEADERS_BYTES)
    }

    fn of(answer: &Answer) -> Self {
        let body = match &answer.body {
            AnswerBody::Whole(bytes) => bytes.clone(),
            // A long body is too large to be kept.
            AnswerBody::Absent { .. } | AnswerBody::Long(_) => Vec::new(),
        };
        Self(Arc::new(KeptParts {
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

impl HeldClaim {
    /// Notes that the first byte is about to go out.
    pub(super) fn written(&self) {
        if let Some(claim) = &self.claim {
            self.table.lock().mark_written(claim);
        }
        self.written.store(true, Ordering::Release);
    }

    /// Returns what tells whether a byte may have gone out.
    pub(super) fn written_mark(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.written)
    }

    /// Notes that the upstream provably ran nothing.
    pub(super) fn proved_not_run(&self) {
        if let Some(claim) = &self.claim {
            self.table.lock().mark_not_run(claim);
        }
        self.written.store(false, Ordering::Release);
    }

    /// Keeps the whole answer.
    pub(super) fn finish(mut self, answer: &Answer) {
        let Some(claim) = self.claim.take() else {
            return;
        };
        // Copied outside of the lock, and not at all where it is too large.
        let keeps = self.table.lock().can_store(Kept::size_of(answer));
        let kept = keeps.then(|| Kept::of(answer));
        let mut table = self.table.lock();
        match kept {
            Some(kept) => table.finish(claim, kept),
            None => table.finish_without_answer(claim),
        }
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            self.table.lock().abandon(claim);
        }
    }
}

/// A request with a key.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeyedRequest<'a> {
    /// The request.
    pub(super) received: &'a Received,
    /// What it is for.
    pub(super) target: &'a Target,
    /// Its identity.
    pub(super) id: &'a RequestId,
    /// The key as it was sent.
    pub(super) key: &'a str,
}

/// Decides about a request with a key: gives out the right to run it, or what
/// it gets without a run.
pub(super) fn begin<P: Parts>(
    parts: &P,
    table: &KeyTable,
    request: KeyedRequest<'_>,
) -> Result<HeldClaim, Settled> {
    let key: IdempotencyKey = request
        .key
        .parse()
        .map_err(|error| Settled::malformed(&error))?;
    let fingerprint = request.fingerprint();
    let wall: WallTime = parts.clock().wall();
    let begun = table.lock().begin(&key, fingerprint, wall);
    match begun {
        Begin::Run(claim) => Ok(HeldClaim {
            table: Arc::clone(table),
            claim: Some(claim),
            written: Arc::default(),
        }),
        Begin::Replay(kept) => Err(Settled::replayed(&kept)),
        Begin::InProgress { retry_after } => Err(Settled::in_progress(retry_after)),
        Begin::Refuse(refusal) => Err(Settled::refused(refusal.reason, refusal.retry_after)),
        Begin::Elsewhere => Err(elsewhere(parts, request, &key)),
    }
}

impl Settled {
    fn replayed(kept: &Kept) -> Self {
        Self {
            answer: Ok(kept.answer()),
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
            KeyError::Unique { .. } => "key-without-uuid-v7",
        };
        Self {
            answer: Err(Refusal::not_run(StatusCode::BadRequest, reason)),
            code: EventCode::KeyMalformed,
            rule: Rule::KeyRefused,
        }
    }

    fn refused(reason: RefusalReason, retry_after: Option<Duration>) -> Self {
        let status = StatusCode::try_from(reason.status());
        let refusal = Refusal {
            status: status.unwrap_or(StatusCode::Conflict),
            outcome: reason.outcome(),
            reason: reason.as_str(),
            retry_after: retry_after.unwrap_or_default(),
        };
        Self {
            answer: Err(refusal),
            code: refusal_code(reason),
            rule: Rule::KeyRefused,
        }
    }
}

fn refusal_code(reason: RefusalReason) -> EventCode {
    match reason {
        RefusalReason::OwnerGone => EventCode::KeyOwnerGone,
        RefusalReason::KeyReused => EventCode::KeyReused,
        RefusalReason::AnswerLost => EventCode::KeyAnswerLost,
        RefusalReason::AnswerDropped => EventCode::KeyAnswerDropped,
        RefusalReason::KeyExpired => EventCode::KeyExpired,
        RefusalReason::KeyFromFuture => EventCode::KeyFromFuture,
        RefusalReason::TableFull => EventCode::KeyTableFull,
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

    /// Returns the request's URL at another instance.
    fn location(&self, address: SocketAddr) -> String {
        let url = &self.received.head.url;
        let query = url.query().map(|query| format!("?{query}"));
        let query = query.unwrap_or_default();
        format!("http://{address}{}{query}", url.path())
    }
}

/// Sends the caller to the instance that owns its key.
fn elsewhere<P: Parts>(parts: &P, request: KeyedRequest<'_>, key: &IdempotencyKey) -> Settled {
    let Some(address) = parts.directory().address_of(&key.owner().instance) else {
        return Settled::refused(RefusalReason::OwnerGone, None);
    };
    let refusal = Refusal {
        status: StatusCode::TemporaryRedirect,
        // Only the owner knows whether the key was run before.
        outcome: Outcome::Unknown,
        reason: "key-of-other-instance",
        retry_after: Duration::ZERO,
    };
    let mut answer = refusal.answer(request.id.as_str());
    answer.insert(name::LOCATION, &request.location(address));
    Settled {
        answer: Ok(answer),
        code: EventCode::KeyRedirected,
        rule: Rule::KeyOwner,
    }
}
