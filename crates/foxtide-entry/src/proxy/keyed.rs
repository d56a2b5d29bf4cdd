//! Runs keyed requests, which may continue after their caller disconnects.

use super::keys::ClaimGuard;
use super::prepare::PreparedRequest;
use super::run::Proxy;
use crate::answer::{
    Answer,
    Refusal, //
};
use crate::dependencies::Dependencies;
use crate::request_context::RequestContext;
use crate::serve::ListenerState;
use smol::{
    Executor,
    Task, //
};
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::{
    Arc,
    Weak, //
};

/// Runs a keyed request in a task of its own.
///
/// If it is dropped because the caller disconnected, it is cancelled only if no
/// byte has been sent. Otherwise it continues, so that its answer is stored for
/// the caller's retry. Draining waits for it.
struct DetachableRun {
    task: Option<Task<Result<Answer, Refusal>>>,
    written: Arc<AtomicBool>,
    executor: Weak<Executor<'static>>,
    callers: Arc<ListenerState>,
}

impl Drop for DetachableRun {
    fn drop(&mut self) {
        let written = self.written.load(Ordering::Acquire);
        let (Some(task), Some(executor)) = (self.task.take(), self.executor.upgrade()) else {
            return;
        };
        if !written {
            return;
        }
        let guard = self.callers.begin_request();
        let rest = async move {
            let _ = task.await;
            drop(guard);
        };
        executor.spawn(rest).detach();
    }
}

impl<P: Dependencies> Proxy<P> {
    /// Runs a request that has claimed its key.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no upstream answered.
    pub(super) async fn run_keyed(
        self: &Arc<Self>,
        context: RequestContext,
        prepared: PreparedRequest,
        claim: ClaimGuard,
    ) -> Result<Answer, Refusal> {
        let Some(executor) = self.executor.upgrade() else {
            return self.run_claimed(&context, &prepared, claim).await;
        };
        let written = claim.written_flag();
        let proxy = Arc::clone(self);
        let task =
            executor.spawn(async move { proxy.run_claimed(&context, &prepared, claim).await });
        let mut run = DetachableRun {
            task: None,
            written,
            executor: Weak::clone(&self.executor),
            callers: Arc::clone(&self.callers),
        };
        let answered = run.task.insert(task).await;
        // `drop` must not await the completed task again.
        run.task = None;
        answered
    }

    async fn run_claimed(
        &self,
        context: &RequestContext,
        prepared: &PreparedRequest,
        claim: ClaimGuard,
    ) -> Result<Answer, Refusal> {
        let answered = self.run(context, prepared, Some(&claim)).await;
        match &answered {
            Ok(answer) => claim.finish(answer),
            Err(refusal) => self.record_refusal(context, refusal),
        }
        answered
    }
}
