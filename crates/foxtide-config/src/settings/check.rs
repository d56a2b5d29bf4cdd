//! Validates settings beyond their types.

use super::{
    Limits,
    Listener,
    Settings, //
};
use crate::{
    Error,
    Result, //
};
use foxtide_core::ids::InstanceId;
use std::fmt::Display;

/// Maximum number of worker threads.
const WORKERS_MAX: usize = 256;

/// Maximum wait of a watch, in seconds: Consul's limit on blocking queries.
const WATCH_WAIT_MAX_S: u32 = 600;

impl Settings {
    /// Checks ranges and relations of fields.
    ///
    /// # Errors
    ///
    /// Fails with the first invalid field.
    pub(super) fn check(&self, name: &str) -> Result<()> {
        let validator = Validator { name };
        validator.cluster(&self.cluster)?;
        validator.listener("caller", &self.caller)?;
        validator.listener("admin", &self.admin)?;
        validator.listener("peer", &self.peer)?;
        validator.require_distinct("admin.listen", &self.admin, "caller", &self.caller)?;
        validator.require_distinct("peer.listen", &self.peer, "caller", &self.caller)?;
        validator.require_distinct("peer.listen", &self.peer, "admin", &self.admin)?;
        validator.peers(self)?;
        validator.check_range("workers", self.workers, 1, WORKERS_MAX)?;
        validator.limits(&self.limits)
    }
}

/// Validates the settings of one file.
struct Validator<'a> {
    name: &'a str,
}

impl Validator<'_> {
    fn fail<T>(
        &self,
        field: impl Display,
        problem: impl Display,
        expected: impl Display,
    ) -> Result<T> {
        Err(Error::field(self.name, field, problem, expected))
    }

    /// Checks the cluster's name, which has the same syntax as an instance's.
    fn cluster(&self, cluster: &str) -> Result<()> {
        match cluster.parse::<InstanceId>() {
            Ok(_) => Ok(()),
            Err(error) => self.fail("cluster", error, "a name such as `north-1`"),
        }
    }

    fn listener(&self, field: &str, listener: &Listener) -> Result<()> {
        if listener.advertised().ip().is_unspecified() {
            let problem = format!("`{}` is not a reachable address", listener.advertised());
            let expected = "an address that callers and peers can connect to";
            return self.fail(format!("{field}.advertise"), problem, expected);
        }
        if listener
            .advertise
            .is_some_and(|address| address.port() == 0)
        {
            let expected = "a port from 1 to 65535";
            return self.fail(format!("{field}.advertise"), "port 0", expected);
        }
        Ok(())
    }

    fn require_distinct(
        &self,
        field: &str,
        one: &Listener,
        other_name: &str,
        other: &Listener,
    ) -> Result<()> {
        let same_port = one.listen.port() == other.listen.port() && one.listen.port() != 0;
        let any = one.listen.ip().is_unspecified() || other.listen.ip().is_unspecified();
        if same_port && (any || one.listen.ip() == other.listen.ip()) {
            let problem = format!("`{}` is taken by `{other_name}`", one.listen);
            return self.fail(field, problem, "an address of its own");
        }
        Ok(())
    }

    fn peers(&self, settings: &Settings) -> Result<()> {
        let expected = "an address of a peer with its port, such as `10.0.1.4:7400`";
        for (position, peer) in settings.seed_peers.iter().enumerate() {
            if peer.port() == 0 || peer.ip().is_unspecified() {
                let problem = format!("`{peer}` cannot be connected to");
                return self.fail(format!("seed_peers[{position}]"), problem, expected);
            }
        }
        if settings.store_address.port() == 0 {
            return self.fail("store_address", "port 0", "a port from 1 to 65535");
        }
        Ok(())
    }

    fn check_range<T: PartialOrd + Display>(
        &self,
        field: &str,
        value: T,
        least: T,
        most: T,
    ) -> Result<()> {
        if value < least || value > most {
            return self.fail(field, value, format!("from {least} to {most}"));
        }
        Ok(())
    }

    fn limits(&self, limits: &Limits) -> Result<()> {
        self.requests(limits)?;
        let lookups = &limits.lookups;
        self.check_range("limits.lookups.ttl_s", lookups.ttl_s, 1, 300)?;
        self.check_range("limits.lookups.instances_max", lookups.instances_max, 1, 16)?;
        let upstreams = &limits.upstreams;
        let connect = upstreams.connect_timeout_ms;
        self.check_range("limits.upstreams.connect_timeout_ms", connect, 1, 60_000)?;
        let least = upstreams.connections_min;
        self.check_range("limits.upstreams.connections_min", least, 1, 1_000)?;
        self.store(limits)?;
        self.keys(limits)?;
        self.check_range("limits.events.kept_max", limits.events.kept_max, 16, 65_536)
    }

    fn requests(&self, limits: &Limits) -> Result<()> {
        let requests = &limits.requests;
        let most = u32::MAX;
        let connections = requests.connections_max;
        self.check_range("limits.requests.connections_max", connections, 1, most)?;
        self.check_range(
            "limits.requests.in_flight_max",
            requests.in_flight_max,
            1,
            most,
        )?;
        let in_flight = requests.in_flight_max;
        self.check_range(
            "limits.requests.waiting_max",
            requests.waiting_max,
            0,
            in_flight,
        )?;
        let deadline = requests.deadline_max_ms;
        self.check_range("limits.requests.deadline_max_ms", deadline, 1, 600_000)?;
        let head = requests.head_timeout_ms;
        self.check_range("limits.requests.head_timeout_ms", head, 1, 600_000)?;
        let head_size = requests.head_max_bytes;
        self.check_range("limits.requests.head_max_bytes", head_size, 256, 1_048_576)?;
        let body = requests.body_timeout_ms;
        self.check_range("limits.requests.body_timeout_ms", body, 1, 3_600_000)?;
        let idle = requests.idle_timeout_ms;
        self.check_range("limits.requests.idle_timeout_ms", idle, 1, 3_600_000)?;
        let drain = limits.shutdown.drain_max_ms;
        self.check_range("limits.shutdown.drain_max_ms", drain, deadline, 3_600_000)
    }

    /// Checks the limits of keys, which must outlive the longest request.
    fn keys(&self, limits: &Limits) -> Result<()> {
        let keys = &limits.keys;
        let least = limits.requests.deadline_max_ms.div_ceil(1_000);
        self.check_range("limits.keys.validity_s", keys.validity_s, least, 86_400)?;
        self.check_range("limits.keys.kept_max", keys.kept_max, 16, 16_777_216)?;
        let (most, answers) = (1 << 32, keys.answers_max_bytes);
        self.check_range("limits.keys.answers_max_bytes", answers, 0, most)?;
        let answer = keys.answer_max_bytes;
        self.check_range("limits.keys.answer_max_bytes", answer, 0, answers)
    }

    fn store(&self, limits: &Limits) -> Result<()> {
        let store = &limits.store;
        let timeout = store.call_timeout_ms;
        self.check_range("limits.store.call_timeout_ms", timeout, 10, 60_000)?;
        let wait = store.watch_wait_s;
        self.check_range("limits.store.watch_wait_s", wait, 1, WATCH_WAIT_MAX_S)?;
        let reads = store.fleet_reads_per_s;
        self.check_range("limits.store.fleet_reads_per_s", reads, 1.0, 100_000.0)?;
        let writes = store.fleet_writes_per_s;
        self.check_range("limits.store.fleet_writes_per_s", writes, 1.0, 100_000.0)
    }
}
