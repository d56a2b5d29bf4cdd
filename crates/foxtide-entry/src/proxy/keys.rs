//! Requests with an idempotency key: at most one run, whatever is retried.
//!
//! Locks: one, around the table, never held while a task waits.

use crate::answer::{Answer, AnswerBody, Refusal};
use crate::clock::Clock;
use crate::facts::Target;
use crate::http::name;
use crate::parts::{Directory, Parts};
use crate::serve::Received;
use foxtide_core::idempotency::{
    Begin, Claim, Fingerprint, IdempotencyKey, KeptAnswer, KeyError, RefusalReason, Table,
};
use foxtide_core::outcome::Outcome;
use foxtide_core::time::WallTime;
use foxtide_core::units::ByteSize;
use http_types::StatusCode;
use http_types::headers::Headers;
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
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

/// What becomes of a request with a key.
pub(crate) enum Keyed {
    /// It is run.
    Run(HeldClaim),
    /// It is answered without a run.
    Answered(Answer),
}

/// The right to run a key; given back when it is dropped.
pub(crate) struct HeldClaim {
    table: KeyTable,
    claim: Option<Claim>,
    written: Arc<AtomicBool>,
}

impl KeptAnswer for Kept {
    fn size(&self) -> ByteSize {
        ByteSize::from_bytes(self.0.body.len() as u64 + KEPT_HEADERS_BYTES)
    }
}

impl Kept {
    fn of(answer: &Answer) -> Self {
        let body = match &answer.body {
            AnswerBody::Whole(bytes) => bytes.clone(),
            AnswerBody::Absent { .. } => Vec::new(),
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
            self.table.lock().written(claim);
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
            self.table.lock().proved_not_run(claim);
        }
        self.written.store(false, Ordering::Release);
    }

    /// Keeps the whole answer.
    pub(super) fn finish(mut self, answer: &Answer) {
        if let Some(claim) = self.claim.take() {
            let kept = Kept::of(answer);
            self.table.lock().finish(claim, kept);
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

/// Decides about a request with a key.
///
/// # Errors
///
/// Fails where the key cannot be run here and has no answer.
pub(crate) fn begin<P: Parts>(
    parts: &P,
    table: &KeyTable,
    received: &Received,
    target: &Target,
    key: &str,
) -> Result<Keyed, Refusal> {
    let key: IdempotencyKey = key.parse().map_err(|error| malformed(&error))?;
    let fingerprint = fingerprint(received, target);
    let wall: WallTime = parts.clock().wall();
    let begun = table.lock().begin(&key, fingerprint, wall);
    match begun {
        Begin::Run(claim) => Ok(Keyed::Run(HeldClaim {
            table: Arc::clone(table),
            claim: Some(claim),
            written: Arc::default(),
        })),
        Begin::Replay(kept) => Ok(Keyed::Answered(kept.answer())),
        Begin::InProgress { retry_after } => Err(Refusal {
            status: StatusCode::Conflict,
            outcome: Outcome::Unknown,
            reason: "in-progress",
            retry_after,
        }),
        Begin::Refuse(refusal) => Err(refused(refusal.reason, refusal.retry_after)),
        Begin::Elsewhere => elsewhere(parts, received, &key),
    }
}

fn fingerprint(received: &Received, target: &Target) -> Fingerprint {
    let query = received.head.url.query().unwrap_or_default();
    Fingerprint::of([
        target.organisation.as_str().as_bytes(),
        target.service.as_str().as_bytes(),
        received.head.method.as_ref().as_bytes(),
        target.path.as_bytes(),
        query.as_bytes(),
        &received.body,
    ])
}

/// Sends the caller to the instance that owns its key.
fn elsewhere<P: Parts>(
    parts: &P,
    received: &Received,
    key: &IdempotencyKey,
) -> Result<Keyed, Refusal> {
    let instances = parts.directory().instances();
    let owner = &key.owner().instance;
    let Some(owner) = instances.iter().find(|known| known.instance == *owner) else {
        return Err(refused(RefusalReason::OwnerGone, None));
    };
    let location = location(received, owner.address);
    let refusal = Refusal {
        status: StatusCode::TemporaryRedirect,
        // Only the owner knows whether the key was run before.
        outcome: Outcome::Unknown,
        reason: "key-of-other-instance",
        retry_after: Duration::ZERO,
    };
    let mut answer = refusal.answer(key.to_string().as_str());
    answer.insert(name::LOCATION, &location);
    Ok(Keyed::Answered(answer))
}

fn location(received: &Received, address: SocketAddr) -> String {
    let url = &received.head.url;
    let query = url
        .query()
        .map_or_else(String::new, |query| format!("?{query}"));
    format!("http://{address}{}{query}", url.path())
}

fn malformed(error: &KeyError) -> Refusal {
    let reason = match error {
        KeyError::NoOwner { .. } => "key-names-no-owner",
        KeyError::Owner { .. } => "key-names-bad-owner",
        KeyError::Unique { .. } => "key-is-no-uuid-v7",
    };
    Refusal::not_run(StatusCode::BadRequest, reason)
}

fn refused(reason: RefusalReason, retry_after: Option<Duration>) -> Refusal {
    let status = StatusCode::try_from(reason.status());
    Refusal {
        status: status.unwrap_or(StatusCode::Conflict),
        outcome: reason.outcome(),
        reason: reason.as_str(),
        retry_after: retry_after.unwrap_or_default(),
    }
}
