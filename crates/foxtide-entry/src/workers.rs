//! Thread pool that runs the tasks of the process.

use crate::errors::{
    Error,
    Result, //
};
use smol::channel::{
    Receiver,
    Sender,
    bounded, //
};
use smol::{
    Executor,
    Task, //
};
use std::future::Future;
use std::panic::{
    AssertUnwindSafe,
    catch_unwind, //
};
use std::sync::Arc;
use std::thread::JoinHandle;

/// Maximum number of tasks run after the worker threads have ended.
const FINAL_TICKS_MAX: usize = 100_000;

/// Thread pool with a shared task queue.
///
/// Dropping it stops the threads.
#[derive(Debug)]
pub struct Workers {
    executor: Arc<Executor<'static>>,
    stop: Option<Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl Workers {
    /// Starts `threads` workers, at least one.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread cannot be started.
    pub fn start(threads: usize) -> Result<Self> {
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = bounded(1);
        let mut workers = Self {
            executor,
            stop: Some(stop),
            threads: Vec::new(),
        };
        for number in 0..threads.max(1) {
            let thread = workers.start_one(number, stopped.clone())?;
            workers.threads.push(thread);
        }
        Ok(workers)
    }

    fn start_one(&self, number: usize, stopped: Receiver<()>) -> Result<JoinHandle<()>> {
        let executor = Arc::clone(&self.executor);
        let work = move || while work_until_panic(&executor, &stopped) == WorkEnd::Panic {};
        std::thread::Builder::new()
            .name(format!("worker-{number}"))
            .spawn(work)
            .map_err(Error::worker)
    }

    /// Returns the executor that the threads run.
    pub fn executor(&self) -> Arc<Executor<'static>> {
        Arc::clone(&self.executor)
    }

    /// Spawns a task.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(future)
    }
}

/// Reason why a worker stopped running tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WorkEnd {
    /// The pool was dropped.
    Stop,
    /// A task panicked.
    Panic,
}

/// Runs tasks until the pool is dropped or a task panics. The worker thread
/// then calls it again, so that a panic does not shrink the pool.
fn work_until_panic(executor: &Executor<'static>, stopped: &Receiver<()>) -> WorkEnd {
    // Receiving fails once the pool is dropped.
    let run = || smol::block_on(executor.run(stopped.recv()));
    match catch_unwind(AssertUnwindSafe(run)) {
        Ok(_) => WorkEnd::Stop,
        Err(_) => {
            log::error!("a task panicked; its worker thread continues");
            WorkEnd::Panic
        }
    }
}

impl Drop for Workers {
    fn drop(&mut self) {
        drop(self.stop.take());
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        // Cancelled tasks are dropped when they next run. One that holds the
        // executor would otherwise keep all tasks and connections alive.
        for _ in 0..FINAL_TICKS_MAX {
            if !self.executor.try_tick() {
                return;
            }
        }
    }
}
