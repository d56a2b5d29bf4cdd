//! How configurations come into force at an instance.
//!
//! The store's watch (held by few instances of each availability zone) and the
//! mesh both bring documents. Each is offered to the tables, which take only a
//! newer revision; what the store brought first is passed on to the mesh.

use crate::readiness::Readiness;
use crate::store::NodeStore;
use crate::tables::{
    Applied,
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

/// The wait between two looks at whether the first configuration is there.
const START_RETRY: Duration = Duration::from_millis(200);

/// How long a start waits for peers where the store answers.
const JOIN_WAIT: Duration = Duration::from_secs(3);

/// How many of the watch's reports may wait.
const REPORTS_MAX: usize = 256;

/// Brings configurations into force.
#[derive(Clone, Debug)]
pub(crate) struct Configurations {
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

impl Configurations {
    /// Reads the first configuration from store and peers, then follows both
    /// for good.
    pub(crate) async fn run(self) {
        let changes = self.mesh.configuration_changes();
        let from_mesh = self.clone().follow_mesh(changes);
        let from_store = async {
            let watch = self.start().await;
            self.follow_store(watch).await;
        };
        both(from_mesh, from_store).await;
    }

    /// Returns once the newest that store and peers know is in force. Where
    /// the store is away the peers' word is enough; where no peer answers the
    /// store's is.
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
        let mut store_again_in = Duration::ZERO;
        loop {
            if !store_read && store_again_in.is_zero() {
                store_read = self.read_store(&mut watch).await;
                store_again_in = backoff.record_failure(fastrand::f64());
            }
            let joined = self.mesh.synchronised();
            let has_any = !self.tables.organisations().is_empty();
            let peers_told = joined && has_any;
            if peers_told || (store_read && (joined || waited >= JOIN_WAIT)) {
                break;
            }
            smol::Timer::after(START_RETRY).await;
            waited += START_RETRY;
            store_again_in = store_again_in.saturating_sub(START_RETRY);
        }
        self.readiness.configuration_in_force();
        let count = self.tables.organisations().len();
        let detail = format!("organisations={count} store_read={store_read}");
        self.note(EventCode::ConfigurationFetched, detail);
        watch
    }

    async fn read_store<R: Fn() -> bool + Send>(
        &self,
        watch: &mut ConfigurationWatch<NodeStore, R>,
    ) -> bool {
        match watch.read_all().await {
            Ok(reports) => {
                reports.into_iter().for_each(|report| self.take(report));
                true
            }
            Err(error) => {
                self.note(EventCode::StoreUnreachable, error);
                false
            }
        }
    }

    async fn follow_store<R: Fn() -> bool + Send>(&self, watch: ConfigurationWatch<NodeStore, R>) {
        let (sender, receiver) = smol::channel::bounded(REPORTS_MAX);
        let taking = async {
            while let Ok(report) = receiver.recv().await {
                self.take(report);
            }
        };
        both(watch.run(sender), taking).await;
    }

    async fn follow_mesh(self, changes: Receiver<Document>) {
        for document in self.mesh.configurations() {
            self.take_document(&document);
        }
        while let Ok(document) = changes.recv().await {
            self.take_document(&document);
        }
    }

    fn take(&self, report: WatchReport) {
        match report {
            WatchReport::Configuration(document) => self.take_configuration(document),
            WatchReport::Invalid { key, cause } => {
                self.note(
                    EventCode::ConfigurationUnreadable,
                    format!("key={key} {cause}"),
                );
            }
            WatchReport::Outage { error, retry_in } => {
                let detail = format!("{error} retry_in_ms={}", retry_in.as_millis());
                self.note(EventCode::StoreUnreachable, detail);
            }
            WatchReport::Recovered => self.note(EventCode::StoreReachable, ""),
        }
    }

    fn take_configuration(&self, organisation: Arc<Organisation>) {
        match change::encode(&organisation) {
            Ok(bytes) => {
                let document = Document {
                    organisation: organisation.organisation.clone(),
                    revision: organisation.revision,
                    bytes: bytes.into(),
                };
                self.mesh.publish_configuration(&document);
            }
            Err(error) => self.note(EventCode::ConfigurationUnreadable, error),
        }
        self.put_in_force(organisation);
    }

    fn take_document(&self, document: &Document) {
        if document.organisation.as_str().starts_with(RESERVED_PREFIX) {
            return;
        }
        let key = change::key_of(&document.organisation);
        match change::decode(&key, &document.bytes) {
            Ok(organisation) => self.put_in_force(Arc::new(organisation)),
            Err(error) => self.note(EventCode::ConfigurationUnreadable, error),
        }
    }

    fn note(&self, code: EventCode, detail: impl ToString) {
        self.recorder
            .record(code, EventFields::detail(detail.to_string()));
    }

    fn put_in_force(&self, organisation: Arc<Organisation>) {
        let detail = describe(&organisation);
        let fields = EventFields {
            organisation: Some(organisation.organisation.clone()),
            ..EventFields::detail(detail)
        };
        if self.tables.apply(Arc::clone(&organisation)) == Applied::InForce {
            // Without waiting for the next look at the tables: an instance
            // that says it is ready must serve what it has read.
            self.traffic.configure(&organisation, self.clock.now());
            self.recorder
                .record(EventCode::ConfigurationApplied, fields);
        }
    }
}

/// Returns what a document's latest change was, and whose.
fn describe(organisation: &Organisation) -> String {
    let mut text = format!("{} {}", organisation.revision, organisation.change_id);
    if let Some(latest) = organisation.history.last() {
        text += &format!(" {}: {}", latest.author, latest.summary);
    }
    text
}

/// Runs two tasks that end only with the process.
async fn both(first: impl Future<Output = ()>, second: impl Future<Output = ()>) {
    smol::future::zip(first, second).await;
}
