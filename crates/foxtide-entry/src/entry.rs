//! Starts, serves and drains the caller and admin listeners.

use crate::admin::AdminHandler;
use crate::callers::CallerHandler;
use crate::clock::Clock;
use crate::dependencies::{
    Dependencies,
    Directory, //
};
use crate::errors::Result;
use crate::housekeeping::{
    Housekeeping,
    run_housekeeping, //
};
use crate::limiter::Limiter;
use crate::options::EntryOptions;
use crate::proxy::Proxy;
use crate::serve::{
    Handler,
    ListenerState,
    bind,
    serve_listener, //
};
use crate::timeout::timeout;
use crate::upstream::Pools;
use foxtide_core::events::{
    EventCode,
    EventFields, //
};
use foxtide_core::idempotency::Table;
use parking_lot::Mutex;
use smol::{
    Async,
    Executor,
    Task,
    Timer, //
};
use std::net::{
    SocketAddr,
    TcpListener, //
};
use std::sync::Arc;

/// Running caller and admin listeners of an instance.
///
/// Dropping it closes both listeners; [`Entry::drain`] first lets requests
/// finish.
#[derive(Debug)]
pub struct Entry<P: Dependencies> {
    deps: Arc<P>,
    options: Arc<EntryOptions>,
    callers: Arc<ListenerState>,
    admin: Arc<ListenerState>,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    tasks: Vec<Task<()>>,
}

/// Bound sockets of an [`Entry`].
///
/// They are bound before anything else starts, so that peers learn the final
/// caller address.
#[derive(Debug)]
pub struct Listeners {
    caller: Async<TcpListener>,
    admin: Async<TcpListener>,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
}

impl Listeners {
    /// Binds the caller and admin addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub fn bind(caller_address: SocketAddr, admin_address: SocketAddr) -> Result<Self> {
        let caller = bind(caller_address)?;
        let admin = bind(admin_address)?;
        Ok(Self {
            caller_address: local_address(&caller, caller_address),
            admin_address: local_address(&admin, admin_address),
            caller,
            admin,
        })
    }

    /// Returns the address of the caller listener.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }
}

impl<P: Dependencies> Entry<P> {
    /// Binds both listeners and starts to serve.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub fn start(
        options: EntryOptions,
        deps: Arc<P>,
        executor: &Arc<Executor<'static>>,
    ) -> Result<Self> {
        let listeners = Listeners::bind(options.caller_address, options.admin_address)?;
        Ok(Self::start_on(listeners, options, deps, executor))
    }

    /// Starts to serve on bound listeners.
    pub fn start_on(
        listeners: Listeners,
        options: EntryOptions,
        deps: Arc<P>,
        executor: &Arc<Executor<'static>>,
    ) -> Self {
        let options = Arc::new(options);
        let mut entry = Self {
            caller_address: listeners.caller_address,
            admin_address: listeners.admin_address,
            callers: ListenerState::new(&options.limits),
            admin: ListenerState::new(&options.limits),
            deps,
            options,
            tasks: Vec::new(),
        };
        entry.first_tick();
        let proxy = entry.proxy(executor);
        entry.start_housekeeping(executor, &proxy);
        entry.serve_callers(executor, listeners.caller, proxy);
        entry.serve_admin(executor, listeners.admin);
        entry
    }

    fn proxy(&self, executor: &Arc<Executor<'static>>) -> Proxy<P> {
        let options = &self.options;
        let keys = Table::new(self.deps.owner().clone(), options.keys);
        Proxy {
            deps: Arc::clone(&self.deps),
            options: Arc::clone(options),
            pools: Arc::new(Pools::new(options.pool.clone())),
            keys: Arc::new(Mutex::new(keys)),
            executor: Arc::downgrade(executor),
            callers: Arc::clone(&self.callers),
            in_flight: Limiter::new(options.limits.in_flight),
            waiting: Limiter::new(options.limits.waiting),
        }
    }

    fn serve_callers(
        &mut self,
        executor: &Arc<Executor<'static>>,
        listener: Async<TcpListener>,
        proxy: Proxy<P>,
    ) {
        let handler = CallerHandler {
            deps: Arc::clone(&self.deps),
            options: Arc::clone(&self.options),
            proxy: Arc::new(proxy),
            owner: self.deps.owner().to_string(),
        };
        let state = Arc::clone(&self.callers);
        self.serve(executor, listener, handler, state);
    }

    fn serve_admin(&mut self, executor: &Arc<Executor<'static>>, listener: Async<TcpListener>) {
        let handler = AdminHandler {
            deps: Arc::clone(&self.deps),
            callers: Arc::clone(&self.callers),
        };
        let state = Arc::clone(&self.admin);
        self.serve(executor, listener, handler, state);
    }

    /// Runs the first tick, so that configured services can be served at once.
    fn first_tick(&self) {
        let clock = self.deps.clock();
        self.deps.traffic().tick(clock.now(), clock.wall());
    }

    fn serve(
        &mut self,
        executor: &Arc<Executor<'static>>,
        listener: Async<TcpListener>,
        handler: impl Handler,
        state: Arc<ListenerState>,
    ) {
        let deps = Arc::clone(&self.deps);
        let limits = Arc::new(self.options.limits.clone());
        let on_error = move |error: &std::io::Error| {
            let fields = EventFields::detail(format!("cause={error}"));
            deps.recorder().record(EventCode::ListenerFailed, fields);
        };
        let serving = serve_listener(
            listener,
            Arc::clone(executor),
            Arc::new(handler),
            limits,
            state,
            on_error,
        );
        self.tasks.push(executor.spawn(serving));
    }

    fn start_housekeeping(&mut self, executor: &Arc<Executor<'static>>, proxy: &Proxy<P>) {
        let (deps, options) = (Arc::clone(&self.deps), Arc::clone(&self.options));
        let (pools, keys) = (Arc::clone(&proxy.pools), Arc::clone(&proxy.keys));
        let callers = Arc::clone(&self.callers);
        let housekeeping = Housekeeping::new(deps, options, pools, keys, callers);
        let housekeeping = run_housekeeping(housekeeping, Arc::clone(executor));
        self.tasks.push(executor.spawn(housekeeping));
    }

    /// Returns the address of the caller listener.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address of the admin listener.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the number of open caller connections.
    pub fn connections(&self) -> usize {
        self.callers.connections()
    }

    /// Returns the number of caller requests in progress.
    pub fn requests(&self) -> usize {
        self.callers.requests()
    }

    /// Drains the caller listener.
    ///
    /// Removes the instance from look-ups, serves until cached look-ups have
    /// expired, then closes idle connections and waits for requests in
    /// progress, for a limited time. The admin listener stays open.
    pub async fn drain(&self) {
        self.record(EventCode::ProcessStopping, String::new());
        self.deps.directory().leave();
        self.callers.start_draining();
        Timer::after(self.options.lookup_ttl + self.options.drain.margin).await;
        self.callers.close();
        let finished = self.callers.finished();
        match timeout(self.options.drain.in_flight_time, finished).await {
            Ok(()) => self.record(EventCode::ProcessDrained, String::new()),
            Err(_) => {
                let in_flight = format!("requests={}", self.requests());
                self.record(EventCode::DrainWindowExceeded, in_flight);
            }
        }
    }

    fn record(&self, code: EventCode, detail: String) {
        let recorder = self.deps.recorder();
        recorder.record(code, EventFields::detail(detail));
    }
}

impl<P: Dependencies> Drop for Entry<P> {
    fn drop(&mut self) {
        self.callers.close();
        self.admin.close();
    }
}

fn local_address(listener: &Async<TcpListener>, requested: SocketAddr) -> SocketAddr {
    listener.get_ref().local_addr().unwrap_or(requested)
}
