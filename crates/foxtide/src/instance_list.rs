//! Takes hints for joining the fleet from the platform's list of instances.
//!
//! The settings' seeds may all have been replaced since they were written. An
//! instance that knows no other asks the list often; afterwards only the
//! instances that watch the store do, so that parts of the fleet that lost
//! each other find together again and the list is not asked by all.

use foxtide_config::read_instance_list;
use foxtide_mesh::MeshHandle;
use smol::Timer;
use std::net::SocketAddr;
use std::time::Duration;

/// How long the list may take to answer.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// The mean time between two readings before this instance has joined.
const JOINING_INTERVAL: Duration = Duration::from_secs(1);

/// The mean time between two readings afterwards.
const JOINED_INTERVAL: Duration = Duration::from_secs(30);

/// Follows the list, if there is one, for good.
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
        // Between half and one and a half of the interval.
        Timer::after(interval.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// Tells whether this instance has found no other yet.
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
            log::debug!("{error}");
            "failed"
        }
    };
    metrics::counter!("foxtide_instance_list_reads_total", "outcome" => outcome).increment(1);
}
