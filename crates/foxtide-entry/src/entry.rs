//! The request path of an instance: both listeners, from start to drain.

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

/// The running request path of an instance.
///
/// Dropping it stops both listeners; [`Entry::drain`] comes first where
/// nothing is to be cut.
#[derive(Debug)]
pub struct Entry<P: Dependencies> {
    dependencies: Arc<P>,
    options: Arc<EntryOptions>,
    callers: Arc<ListenerState>,
    admin: Arc<ListenerState>,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    tasks: Vec<Task<()>>,
}

/// The sockets that an [`Entry`] serves, bound before anything else is
/// started, so that peers can be told where callers connect.
#[derive(Debug)]
pub struct Listeners {
    caller: Async<TcpListener>,
    admin: Async<TcpListener>,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
}

impl Listeners {
    /// Binds the caller's and the operators' address.
    ///
    /// # Errors
    ///
    /// Fails where an address cannot be bound.
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

    /// Returns where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }
}

impl<P: Dependencies> Entry<P> {
    /// Binds both listeners and starts to serve.
    ///
    /// # Errors
    ///
    /// Fails where an address cannot be bound.
    pub fn start(
        options: EntryOptions,
        dependencies: Arc<P>,
        executor: &Arc<Executor<'static>>,
    ) -> Result<Self> {
        let listeners = Listeners::bind(options.caller_address, options.admin_address)?;
        Ok(Self::start_on(listeners, options, dependencies, executor))
    }

    /// Starts to serve on listeners that are bound already.
    pub fn start_on(
        listeners: Listeners,
        options: EntryOptions,
        dependencies: Arc<P>,
        executor: &Arc<Executor<'static>>,
    ) -> Self {
        let options = Arc::new(options);
        let mut entry = Self {
            caller_address: listeners.caller_address,
            admin_address: listeners.admin_address,
            callers: ListenerState::new(&options.limits),
            admin: ListenerState::new(&options.limits),
            dependencies,
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
        let keys = Table::new(self.dependencies.owner().clone(), options.keys);
        Proxy {
            dependencies: Arc::clone(&self.dependencies),
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
            dependencies: Arc::clone(&self.dependencies),
            options: Arc::clone(&self.options),
            proxy: Arc::new(proxy),
            owner: self.dependencies.owner().to_string(),
        };
        let state = Arc::clone(&self.callers);
        self.serve(executor, listener, handler, state);
    }

    fn serve_admin(&mut self, executor: &Arc<Executor<'static>>, listener: Async<TcpListener>) {
        let handler = AdminHandler {
            dependencies: Arc::clone(&self.dependencies),
            callers: Arc::clone(&self.callers),
        };
        let state = Arc::clone(&self.admin);
        self.serve(executor, listener, handler, state);
    }

    /// Moves the decisions on once, so that what is configured already can be
    /// served from the first caller on.
    fn first_tick(&self) {
        let clock = self.dependencies.clock();
        self.dependencies.traffic().tick(clock.now(), clock.wall());
    }

    fn serve(
        &mut self,
        executor: &Arc<Executor<'static>>,
        listener: Async<TcpListener>,
        handler: impl Handler,
        state: Arc<ListenerState>,
    ) {
        let dependencies = Arc::clone(&self.dependencies);
        let limits = Arc::new(self.options.limits.clone());
        let on_error = move |error: &std::io::Error| {
            let fields = EventFields::detail(format!("cause={error}"));
            dependencies
                .recorder()
                .record(EventCode::ListenerFailed, fields);
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
        let (dependencies, options) = (Arc::clone(&self.dependencies), Arc::clone(&self.options));
        let (pools, keys) = (Arc::clone(&proxy.pools), Arc::clone(&proxy.keys));
        let callers = Arc::clone(&self.callers);
        let housekeeping = Housekeeping::new(dependencies, options, pools, keys, callers);
        let housekeeping = run_housekeeping(housekeeping, Arc::clone(executor));
        self.tasks.push(executor.spawn(housekeeping));
    }

    /// Returns where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns where operators connect.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns how many connections of callers are open.
    pub fn connections(&self) -> usize {
        self.callers.connections()
    }

    /// Returns how many requests of callers are under way.
    pub fn requests(&self) -> usize {
        self.callers.requests()
    }

    /// Leaves: takes the instance out of look-ups, serves until callers'
    /// answers have expired, then closes connections between answers and
    /// returns once nothing is in flight.
    ///
    /// The admin listener serves on.
    pub async fn drain(&self) {
        self.record(EventCode::ProcessStopping, String::new());
        self.dependencies.directory().leave();
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
        let recorder = self.dependencies.recorder();
        recorder.record(code, EventFields::detail(detail));
    }
}

impl<P: Dependencies> Drop for Entry<P> {
    fn drop(&mut self) {
        self.callers.close();
        self.admin.close();
    }
}

fn local_address(listener: &Async<TcpListener>, asked: SocketAddr) -> SocketAddr {
    listener.get_ref().local_addr().unwrap_or(asked)
}
