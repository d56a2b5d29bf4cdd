//! Reads seed addresses from the platform's list of instances.
//!
//! The seeds in the settings may be outdated. An instance without peers polls
//! the list frequently. Afterwards only the instances that watch the store
//! poll it, so that a partitioned mesh can rejoin.

use foxtide_config::read_instance_list;
use foxtide_mesh::MeshHandle;
use smol::Timer;
use std::net::SocketAddr;
use std::time::Duration;

const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// The mean poll interval while this instance has no peers.
const JOINING_INTERVAL: Duration = Duration::from_secs(1);

/// The mean poll interval once this instance has joined.
const JOINED_INTERVAL: Duration = Duration::from_secs(30);

/// Polls the list, if one is configured, until the process ends.
pub(crate) async fn poll(list: Option<SocketAddr>, mesh: MeshHandle) {
    let Some(list) = list else {
        return;
    };
    loop {
        if has_no_peers(&mesh) || mesh.is_watcher() {
            read_seeds(list, &mesh).await;
        }
        let interval = match has_no_peers(&mesh) {
            true => JOINING_INTERVAL,
            false => JOINED_INTERVAL,
        };
        // 0.5 to 1.5 times the interval.
        Timer::after(interval.mul_f64(0.5 + fastrand::f64())).await;
    }
}

fn has_no_peers(mesh: &MeshHandle) -> bool {
    mesh.members().len() <= 1
}

async fn read_seeds(list: SocketAddr, mesh: &MeshHandle) {
    let outcome = match read_instance_list(list, READ_TIMEOUT).await {
        Ok(peers) => {
            mesh.add_seeds(&peers);
            "read"
        }
        Err(error) => {
            log::debug!("cannot read seed addresses: {error}");
            "failed"
        }
    };
    metrics::counter!("foxtide_instance_list_reads_total", "outcome" => outcome).increment(1);
}
