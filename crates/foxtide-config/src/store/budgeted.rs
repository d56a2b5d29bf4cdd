//! Wraps a store client with a call budget.

use super::budget::{
    CallClass,
    Fleet,
    StoreBudget, //
};
use foxtide_core::store::{
    SessionId,
    Store,
    StoreEntry,
    StoreError,
    StoreIndex,
    StoreListing,
    StoreNames,
    StoreResult, //
};
use foxtide_core::time::MonotonicTime;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

/// A store client with a call budget. Clones share the budget.
#[derive(Clone, Debug)]
pub struct BudgetedStore<S> {
    store: S,
    peer: Arc<str>,
    started: Instant,
    budget: Arc<Mutex<StoreBudget>>,
}

impl<S: Store> BudgetedStore<S> {
    /// Wraps `store`; the budget's clock starts at zero now. `peer` is the store's name in
    /// errors.
    pub fn new(store: S, peer: &str, budget: StoreBudget) -> Self {
        Self {
            store,
            peer: peer.into(),
            started: Instant::now(),
            budget: Arc::new(Mutex::new(budget)),
        }
    }

    /// Updates the instances that share the fleet's rates.
    pub fn set_fleet(&self, fleet: Fleet) {
        let now = self.now();
        self.budget.lock().set_fleet(fleet, now);
    }

    fn now(&self) -> MonotonicTime {
        let us = self.started.elapsed().as_micros();
        MonotonicTime::from_us(u64::try_from(us).unwrap_or(u64::MAX))
    }

    /// Makes a call if the budget permits it.
    async fn budgeted<T>(
        &self,
        step: &'static str,
        class: CallClass,
        call: impl Future<Output = StoreResult<T>> + Send,
    ) -> StoreResult<T> {
        let now = self.now();
        if !self.budget.lock().take(class, now) {
            metrics::counter!("foxtide_store_calls_held_total", "kind" => step).increment(1);
            let peer = self.peer.to_string();
            return Err(StoreError::OverBudget { step, peer });
        }
        let result = call.await;
        let now = self.now();
        self.budget.lock().record_call(is_answered(&result), now);
        result
    }
}

/// Returns whether the store answered; a refusal is an answer too.
fn is_answered<T>(result: &StoreResult<T>) -> bool {
    matches!(result, Ok(_) | Err(StoreError::Rejected { .. }))
}

impl<S: Store> Store for BudgetedStore<S> {
    async fn read(&self, key: &str) -> StoreResult<Option<StoreEntry>> {
        let call = self.store.read(key);
        self.budgeted("read", CallClass::Read, call).await
    }

    async fn list(&self, prefix: &str) -> StoreResult<StoreListing> {
        let call = self.store.list(prefix);
        self.budgeted("list", CallClass::Read, call).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: StoreIndex,
        wait: Duration,
    ) -> StoreResult<StoreListing> {
        let call = self.store.watch(prefix, after, wait);
        self.budgeted("watch", CallClass::Read, call).await
    }

    async fn watch_key(
        &self,
        key: &str,
        after: StoreIndex,
        wait: Duration,
    ) -> StoreResult<StoreListing> {
        let call = self.store.watch_key(key, after, wait);
        self.budgeted("watch_key", CallClass::Read, call).await
    }

    async fn watch_names(
        &self,
        prefix: &str,
        after: StoreIndex,
        wait: Duration,
    ) -> StoreResult<StoreNames> {
        let call = self.store.watch_names(prefix, after, wait);
        self.budgeted("watch_names", CallClass::Read, call).await
    }

    async fn write(&self, key: &str, value: Vec<u8>, expected: StoreIndex) -> StoreResult<bool> {
        let call = self.store.write(key, value, expected);
        self.budgeted("write", CallClass::Write, call).await
    }

    async fn delete(&self, key: &str, expected: StoreIndex) -> StoreResult<bool> {
        let call = self.store.delete(key, expected);
        self.budgeted("delete", CallClass::Write, call).await
    }

    async fn open_session(&self, name: &str, ttl: Duration) -> StoreResult<SessionId> {
        let call = self.store.open_session(name, ttl);
        self.budgeted("open_session", CallClass::Write, call).await
    }

    async fn renew_session(&self, session: &SessionId) -> StoreResult<bool> {
        let call = self.store.renew_session(session);
        self.budgeted("renew_session", CallClass::Urgent, call)
            .await
    }

    async fn close_session(&self, session: &SessionId) -> StoreResult<()> {
        let call = self.store.close_session(session);
        self.budgeted("close_session", CallClass::Urgent, call)
            .await
    }

    async fn acquire(&self, key: &str, value: Vec<u8>, session: &SessionId) -> StoreResult<bool> {
        let call = self.store.acquire(key, value, session);
        self.budgeted("acquire", CallClass::Write, call).await
    }

    async fn release(&self, key: &str, value: Vec<u8>, session: &SessionId) -> StoreResult<bool> {
        let call = self.store.release(key, value, session);
        self.budgeted("release", CallClass::Urgent, call).await
    }
}
