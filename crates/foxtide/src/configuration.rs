//! Applies configurations from the store and the mesh.
//!
//! A few instances of each availability zone watch the store and publish its
//! documents to the mesh. The tables accept only documents with a newer
//! revision.

use crate::readiness::Readiness;
use crate::store::NodeStore;
use crate::tables::{
    ApplyOutcome,
    Tables, //
};
use foxtide_config::blocks::RESERVED_PREFIX;
use foxtide_config::{
    Backoff,
    ConfigurationWatch,
    WatchOptions,
    WatchReport,
    change, //
};
use foxtide_core::dissemination::Document;
use foxtide_core::events::{
    EventCode,
    EventFields, //
};
use foxtide_core::organisation::Organisation;
use foxtide_entry::{
    Clock,
    SystemClock,
    TrafficTables, //
};
use foxtide_events::Recorder;
use foxtide_mesh::MeshHandle;
use smol::channel::Receiver;
use std::sync::Arc;
use std::time::Duration;

/// How often a starting instance checks for its first configuration.
const START_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// How long a starting instance waits for peers once it has read the store.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

const QUEUED_REPORTS_MAX: usize = 256;

/// Updates the configurations from the store and the mesh.
#[derive(Clone, Debug)]
pub(crate) struct ConfigurationUpdater {
    pub(crate) tables: Arc<Tables>,
    pub(crate) traffic: Arc<TrafficTables>,
    pub(crate) clock: SystemClock,
    pub(crate) mesh: MeshHandle,
    pub(crate) recorder: Recorder,
    pub(crate) store: Arc<NodeStore>,
    pub(crate) readiness: Readiness,
    pub(crate) watch_wait: Duration,
    pub(crate) seed: u64,
}

impl ConfigurationUpdater {
    /// Fetches the first configuration, then follows the store and the mesh
    /// until the process ends.
    pub(crate) async fn run(self) {
        let changes = self.mesh.configuration_changes();
        let mesh_task = self.clone().watch_mesh(changes);
        let store_task = async {
            let watch = self.start().await;
            self.watch_store(watch).await;
        };
        run_both(mesh_task, store_task).await;
    }

    /// Waits for the first configuration: from the peers, or from the store if
    /// the peers have none or do not answer in time.
    async fn start(&self) -> ConfigurationWatch<NodeStore, impl Fn() -> bool + Send + use<>> {
        let mesh = self.mesh.clone();
        let options = WatchOptions {
            wait: self.watch_wait,
            seed: self.seed,
            ..WatchOptions::default()
        };
        let store = Arc::clone(&self.store);
        let mut watch = ConfigurationWatch::new(store, move || mesh.is_watcher(), options);
        let mut waited = Duration::ZERO;
        let mut store_read = false;
        let mut backoff = Backoff::default();
        let mut store_retry_in = Duration::ZERO;
        loop {
            if !store_read && store_retry_in.is_zero() {
                store_read = self.read_store(&mut watch).await;
                store_retry_in = backoff.record_failure(fastrand::f64());
            }
            let joined = self.mesh.synchronised();
            let has_any = !self.tables.organisations().is_empty();
            let has_peer_configuration = joined && has_any;
            if has_peer_configuration || (store_read && (joined || waited >= JOIN_TIMEOUT)) {
                break;
            }
            smol::Timer::after(START_POLL_INTERVAL).await;
            waited += START_POLL_INTERVAL;
            store_retry_in = store_retry_in.saturating_sub(START_POLL_INTERVAL);
        }
        self.readiness.set_configured();
        let count = self.tables.organisations().len();
        let detail = format!("organisations={count} store_read={store_read}");
        self.record(EventCode::ConfigurationFetched, detail);
        watch
    }

    async fn read_store<R: Fn() -> bool + Send>(
        &self,
        watch: &mut ConfigurationWatch<NodeStore, R>,
    ) -> bool {
        match watch.read_all().await {
            Ok(reports) => {
                reports
                    .into_iter()
                    .for_each(|report| self.handle_report(report));
                true
            }
            Err(error) => {
                self.record(EventCode::StoreUnreachable, error);
                false
            }
        }
    }

    async fn watch_store<R: Fn() -> bool + Send>(&self, watch: ConfigurationWatch<NodeStore, R>) {
        let (sender, receiver) = smol::channel::bounded(QUEUED_REPORTS_MAX);
        let report_task = async {
            while let Ok(report) = receiver.recv().await {
                self.handle_report(report);
            }
        };
        run_both(watch.run(sender), report_task).await;
    }

    async fn watch_mesh(self, changes: Receiver<Document>) {
        for document in self.mesh.configurations() {
            self.apply_document(&document);
        }
        while let Ok(document) = changes.recv().await {
            self.apply_document(&document);
        }
    }

    fn handle_report(&self, report: WatchReport) {
        match report {
            WatchReport::Configuration(document) => self.publish_and_apply(document),
            WatchReport::Invalid { key, cause } => {
                self.record(
                    EventCode::ConfigurationUnreadable,
                    format!("key={key} {cause}"),
                );
            }
            WatchReport::Outage { error, retry_in } => {
                let detail = format!("{error} retry_in_ms={}", retry_in.as_millis());
                self.record(EventCode::StoreUnreachable, detail);
            }
            WatchReport::Recovered => self.record(EventCode::StoreReachable, ""),
        }
    }

    fn publish_and_apply(&self, organisation: Arc<Organisation>) {
        match change::encode(&organisation) {
            Ok(bytes) => {
                let document = Document {
                    organisation: organisation.organisation.clone(),
                    revision: organisation.revision,
                    bytes: bytes.into(),
                };
                self.mesh.publish_configuration(&document);
            }
            Err(error) => self.record(EventCode::ConfigurationUnreadable, error),
        }
        self.apply(organisation);
    }

    fn apply_document(&self, document: &Document) {
        if document.organisation.as_str().starts_with(RESERVED_PREFIX) {
            return;
        }
        let key = change::key_of(&document.organisation);
        match change::decode(&key, &document.bytes) {
            Ok(organisation) => self.apply(Arc::new(organisation)),
            Err(error) => self.record(EventCode::ConfigurationUnreadable, error),
        }
    }

    fn record(&self, code: EventCode, detail: impl ToString) {
        self.recorder
            .record(code, EventFields::detail(detail.to_string()));
    }

    fn apply(&self, organisation: Arc<Organisation>) {
        let detail = latest_change(&organisation);
        let fields = EventFields {
            organisation: Some(organisation.organisation.clone()),
            ..EventFields::detail(detail)
        };
        if self.tables.apply(Arc::clone(&organisation)) == ApplyOutcome::Applied {
            // Not deferred to the traffic updater: a ready instance must serve
            // the configuration that it has read.
            self.traffic.configure(&organisation, self.clock.now());
            self.recorder
                .record(EventCode::ConfigurationApplied, fields);
        }
    }
}

/// Describes the latest change of a document and its author.
fn latest_change(organisation: &Organisation) -> String {
    let mut text = format!("{} {}", organisation.revision, organisation.change_id);
    if let Some(latest) = organisation.history.last() {
        text += &format!(" {}: {}", latest.author, latest.summary);
    }
    text
}

/// Runs two tasks concurrently.
async fn run_both(first: impl Future<Output = ()>, second: impl Future<Output = ()>) {
    smol::future::zip(first, second).await;
}
