//! Starts the project's program as the deploy file says, an address for each process, and watches
//! its memory as the platform does.

use crate::record::Record;
use std::fs;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

const RLIMIT_NOFILE: i32 = 7;

/// `maxFds` of each machine.
const MAX_FDS: u64 = 4_100;

#[repr(C)]
struct ResourceLimit {
    soft: u64,
    hard: u64,
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
    fn getrlimit(resource: i32, limit: *mut ResourceLimit) -> i32;
    fn setrlimit(resource: i32, limit: *const ResourceLimit) -> i32;
}

/// Sets the soft limit of descriptors, as far as the hard one allows it.
pub fn limit_descriptors(count: u64) {
    let mut limit = ResourceLimit { soft: 0, hard: 0 };
    // SAFETY: the pointers are to a value that outlives the calls.
    unsafe {
        if getrlimit(RLIMIT_NOFILE, &mut limit) == 0 {
            limit.soft = count.min(limit.hard);
            setrlimit(RLIMIT_NOFILE, &limit);
        }
    }
}

/// What is the same for all instances.
#[derive(Clone)]
pub struct Deployment {
    /// The root of the repository, where the programs start.
    pub root: PathBuf,
    /// Where settings and logs are written.
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub memory_mb: u64,
    pub link_mbps: u64,
    pub grace_s: f64,
}

/// One instance.
pub struct Instance {
    pub name: String,
    pub ip: IpAddr,
    deployment: Deployment,
    zone: String,
    seeds: Vec<IpAddr>,
    starts: u32,
    child: Option<Child>,
}

impl Instance {
    pub fn new(name: &str, ip: IpAddr, zone: &str, seeds: &[IpAddr], of: &Deployment) -> Self {
        Self {
            name: name.to_owned(),
            ip,
            deployment: of.clone(),
            zone: zone.to_owned(),
            seeds: seeds.to_vec(),
            starts: 0,
            child: None,
        }
    }

    /// Returns the address for callers.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8641)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self, record: &Record) -> std::io::Result<()> {
        self.starts += 1;
        let folder = &self.deployment.folder;
        let settings = folder.join(format!("{}.toml", self.name));
        fs::write(&settings, self.settings())?;
        let log = fs::File::create(folder.join(format!("{}-{}.log", self.name, self.starts)))?;
        let errors = log.try_clone()?;
        let mut command = Command::new("target/release/foxtide");
        // The process ends with this one, also if this one is killed.
        // SAFETY: the calls are safe between fork and exec, and touch no memory of others.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                limit_descriptors(MAX_FDS);
                Ok(())
            });
        }
        let child = command
            .args(["--platform", "--metrics-port", "9464"])
            .current_dir(&self.deployment.root)
            .env("FOXTIDE_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn()?;
        record.note(format!("start {} as process {}", self.name, child.id()));
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the readiness check answers 200.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let ends_at = Instant::now() + limit;
        while Instant::now() < ends_at {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, 8640);
        let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut connection = crate::http::Connection::new(stream);
        let asked = connection.send(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        let answer = asked.ok().and_then(|()| connection.message().ok().flatten());
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Returns the resident memory of the process.
    pub fn memory_bytes(&self) -> u64 {
        let Some(child) = &self.child else {
            return 0;
        };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1_024
    }

    /// Kills the process, as the platform does with one that exceeds its memory.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Tells whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    fn settings(&self) -> String {
        let Deployment { store, memory_mb, link_mbps, grace_s, .. } = &self.deployment;
        let region = self.zone.split('-').next().unwrap_or_default();
        let seeds: Vec<String> = self.seeds.iter().map(|ip| format!("\"{ip}:8649\"")).collect();
        format!(
            r#"[self]
nodeName = "{name}"
role = "instance"
machineClass = "edge"
serves = ["edge","control","directory"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
inFaultBudget = false
bootstrap = true
[self.limits]
cpuShare = 0.2
cores = 1
memoryMb = {memory_mb}
maxFds = 4100
linkMbps = {link_mbps}.0
diskMb = 0
[network]
portRange = [7620,7635]
seeds = [{seeds}]
[network.listen]
front = "{ip}:8641"
ready = "{ip}:8640"
control = "{ip}:8649"
directory = "{ip}:8644"
[network.zones]
khomas-a = "khomas"
khomas-b = "khomas"
[provider]
discovery = "platform"
entry = "directory"
heartbeatS = 1.5
[provider.provider]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinS = 1
[terms]
contracts = ["base","drain","config","cost","retry","recover","places","platform"]
[terms.faultTolerance]
machines = 1
zones = 1
regions = 1
[terms.bounds]
drainS = 2.5
graceS = {grace_s}
configApplyS = 2.5
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBurst = 60
coldOvershoot = 1.5
coldSlack = 5
ttl_max_s = 5
"#,
            name = self.name,
            ip = self.ip,
            zone = self.zone,
            seeds = seeds.join(","),
        )
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}
