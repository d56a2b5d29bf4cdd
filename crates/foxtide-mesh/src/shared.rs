//! State shared by the tasks of one instance.
//!
//! Lock order: `state`, `subscribers`, then the recorder's own. No lock is held
//! across an await or during socket I/O.

use crate::calls::IncomingCall;
use crate::documents;
use crate::header_validator::{
    HeaderValidator,
    MINIMUM_VERSION,
    VERSION,
    cluster_id, //
};
use crate::join::{
    self,
    Synchronisation, //
};
use crate::options::MeshOptions;
use crate::traffic::{
    Rejection,
    Traffic, //
};
use crate::wire::{
    Datagram,
    Header,
    to_datagram, //
};
use foxtide_core::dissemination::{
    ConfigurationTable,
    Document,
    FetchQueue,
    LoadAggregator, //
};
use foxtide_core::events::{
    EventCode,
    HybridTime, //
};
use foxtide_core::ids::InstanceId;
use foxtide_core::membership::{
    Member,
    MemberState,
    Membership,
    Output, //
};
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use foxtide_events::Recorder;
use parking_lot::Mutex;
use prost::Message as _;
use rand::rngs::{
    StdRng,
    SysRng, //
};
use rand::{
    SeedableRng,
    TryRng, //
};
use smol::channel::{
    Receiver,
    Sender, //
};
use std::collections::{
    BTreeSet,
    HashMap, //
};
use std::net::{
    SocketAddr,
    UdpSocket, //
};
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

/// Protocol state of one instance.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) membership: Membership,
    pub(crate) configurations: ConfigurationTable,
    pub(crate) fetches: FetchQueue,
    pub(crate) load: LoadAggregator,
    pub(crate) validator: HeaderValidator,
    pub(crate) rng: StdRng,
    pub(crate) seeds: BTreeSet<SocketAddr>,
    pub(crate) synchronisation: Synchronisation,
    /// Start of the last full exchange with each peer.
    pub(crate) exchanged_at: HashMap<SocketAddr, MonotonicTime>,
}

/// State shared by the tasks of one instance.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) options: MeshOptions,
    pub(crate) instance: InstanceId,
    pub(crate) address: SocketAddr,
    pub(crate) socket: smol::Async<UdpSocket>,
    pub(crate) state: Mutex<State>,
    pub(crate) subscribers: Mutex<Vec<Sender<Document>>>,
    pub(crate) calls: (Sender<IncomingCall>, Receiver<IncomingCall>),
    pub(crate) traffic: Traffic,
    pub(crate) epoch_us: u64,
    sequence: AtomicU64,
}

fn random_seed() -> u64 {
    // A constant seed makes instances choose alike, which is slower but correct.
    SysRng.try_next_u64().unwrap_or_default()
}

/// Incoming calls queued for the application.
const CALL_QUEUE_CAPACITY: usize = 1_024;

impl Shared {
    pub(crate) fn new(
        own: Member,
        seeds: &[SocketAddr],
        options: MeshOptions,
        socket: smol::Async<UdpSocket>,
        epoch_us: u64,
    ) -> Self {
        let now = options.clock.now();
        let seed = options.seed.unwrap_or_else(random_seed);
        let instance = own.instance.clone();
        let address = own.peer_address;
        let load = LoadAggregator::new(own.clone(), options.load);
        let state = State {
            membership: Membership::new(own, options.membership, seed, now),
            configurations: ConfigurationTable::default(),
            fetches: FetchQueue::default(),
            load,
            validator: HeaderValidator::new(cluster_id(&options.cluster)),
            rng: StdRng::seed_from_u64(seed),
            seeds: seeds.iter().copied().collect(),
            synchronisation: Synchronisation::Joining,
            exchanged_at: HashMap::new(),
        };
        Self {
            options,
            instance,
            address,
            socket,
            state: Mutex::new(state),
            subscribers: Mutex::default(),
            calls: smol::channel::bounded(CALL_QUEUE_CAPACITY),
            traffic: Traffic::default(),
            epoch_us,
            sequence: AtomicU64::new(0),
        }
    }

    pub(crate) fn now(&self) -> MonotonicTime {
        self.options.clock.now()
    }

    /// Returns the header of the next message.
    pub(crate) fn header(&self) -> Header {
        let clock = self.options.recorder.as_ref().map(Recorder::stamp);
        let clock = clock.unwrap_or_default();
        Header {
            version: VERSION,
            minimum_version: MINIMUM_VERSION,
            cluster: cluster_id(&self.options.cluster),
            sender: self.instance.to_string(),
            epoch_us: self.epoch_us,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            clock_us: clock.wall_us.as_us(),
            clock_counter: clock.counter,
        }
    }

    /// Advances the hybrid clock past a message's send time.
    pub(crate) fn observe_clock(&self, header: &Header) {
        let Some(recorder) = &self.options.recorder else {
            return;
        };
        let clock = HybridTime {
            wall_us: WallTime::from_us(header.clock_us),
            counter: header.clock_counter,
        };
        recorder.observe_from(&header.sender, clock);
    }

    /// Counts and logs a rejected message.
    pub(crate) fn reject(&self, from: SocketAddr, rejection: Rejection) {
        self.traffic.rejected(rejection);
        let code = EventCode::PeerMessageRejected.number();
        log::debug!("F{code} from={from} reason={}", rejection.name());
    }
}

/// Executes the outputs of the membership state machine.
pub(crate) fn apply_outputs(shared: &Arc<Shared>, outputs: Vec<Output>) {
    for output in outputs {
        match output {
            Output::Send { to, packet } => {
                shared.send(to, &to_datagram(shared.header(), packet));
            }
            Output::Synchronise { with } => join::start_exchange(shared, with),
            Output::Announced { announcement, by } => {
                documents::fetch_if_newer(shared, &announcement, by);
            }
            Output::Changed(member) => log_change(&member),
        }
    }
}

impl Shared {
    /// Sends a datagram; send errors are counted, not returned.
    pub(crate) fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let bytes = datagram.encode_to_vec();
        if !self.options.faults.delivers_datagram(self.address, to) {
            self.traffic.sent_datagram(bytes.len());
            return;
        }
        match self.socket.get_ref().send_to(&bytes, to) {
            Ok(size_bytes) => self.traffic.sent_datagram(size_bytes),
            Err(error) => {
                self.traffic.unsent_datagram();
                log::debug!("sending a datagram to {to} failed: {error}");
            }
        }
    }
}

fn log_change(member: &Member) {
    let code = match member.state {
        MemberState::Joining | MemberState::Alive => EventCode::MemberJoined,
        MemberState::Suspect => EventCode::MemberSuspected,
        MemberState::Leaving => EventCode::MemberLeaving,
        MemberState::Dead => EventCode::MemberFailed,
    };
    log::debug!(
        "F{} {} member={} zone={} incarnation={}",
        code.number(),
        code.name(),
        member.instance,
        member.availability_zone,
        member.incarnation.get()
    );
}
