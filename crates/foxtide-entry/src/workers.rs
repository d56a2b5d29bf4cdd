//! The pool of threads that runs every task of the process.

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

/// The most tasks that are run after the last worker has ended.
const FINAL_TICKS_MAX: usize = 100_000;

/// A pool of worker threads over one queue of tasks.
///
/// The threads end when the pool is dropped.
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
    /// Fails where the system starts no more threads.
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

    /// Returns the queue of tasks.
    pub fn executor(&self) -> Arc<Executor<'static>> {
        Arc::clone(&self.executor)
    }

    /// Puts a task into the queue.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(future)
    }
}

/// How a worker's work ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WorkEnd {
    /// The pool was dropped.
    Stop,
    /// A task panicked.
    Panic,
}

/// Runs tasks until the pool is dropped or one of them panics, which must not
/// end the worker: the others would have one less to run them.
fn work_until_panic(executor: &Executor<'static>, stopped: &Receiver<()>) -> WorkEnd {
    // Receiving fails once the pool is dropped.
    let run = || smol::block_on(executor.run(stopped.recv()));
    match catch_unwind(AssertUnwindSafe(run)) {
        Ok(_) => WorkEnd::Stop,
        Err(_) => {
            log::error!("a task panicked; its worker goes on");
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
        // A cancelled task is dropped only when it is run once more. One that
        // holds this queue would otherwise keep all tasks, and so their
        // connections, alive for good.
        for _ in 0..FINAL_TICKS_MAX {
            if !self.executor.try_tick() {
                return;
            }
        }
    }
}
