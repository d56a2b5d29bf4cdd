//! The store as an instance uses it: over HTTP, within the fleet's budget.

use foxtide_config::{
    BudgetOptions,
    BudgetedStore,
    Fleet,
    HttpStore,
    HttpStoreOptions,
    Settings,
    StoreBudget, //
};
use foxtide_core::ids::AvailabilityZoneId;
use foxtide_core::membership::Member;
use foxtide_core::time::MonotonicTime;
use foxtide_mesh::{
    MeshHandle,
    MeshOptions, //
};
use smol::Timer;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The store of an instance.
pub(crate) type NodeStore = BudgetedStore<HttpStore>;

/// The time between two counts of the fleet.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the store that the settings name.
///
/// Until the mesh tells otherwise the instance takes itself for the only one,
/// which lets it read its configuration at once; its bucket bounds the burst.
pub(crate) fn open(settings: &Settings) -> Arc<NodeStore> {
    let limits = &settings.limits.store;
    let store = HttpStore::new(HttpStoreOptions {
        address: settings.store_address,
        call_timeout: limits.call_timeout(),
    });
    let options = BudgetOptions {
        fleet_reads_per_s: limits.fleet_reads_per_s,
        fleet_writes_per_s: limits.fleet_writes_per_s,
    };
    let budget = StoreBudget::new(options, Fleet::default(), MonotonicTime::ZERO);
    let peer = settings.store_address.to_string();
    Arc::new(BudgetedStore::new(store, &peer, budget))
}

/// Keeps the budget to the live members, for good.
pub(crate) async fn follow_fleet(store: Arc<NodeStore>, mesh: MeshHandle) {
    loop {
        store.set_fleet(fleet(&mesh.members(), mesh.is_watcher()));
        Timer::after(COUNT_INTERVAL).await;
    }
}

/// Counts who shares the store's rates.
fn fleet(members: &[Member], is_watcher: bool) -> Fleet {
    let running = members.iter().filter(|member| member.state.is_running());
    let mut in_zones: BTreeMap<&AvailabilityZoneId, usize> = BTreeMap::new();
    for member in running {
        *in_zones.entry(&member.availability_zone).or_default() += 1;
    }
    let watchers_per_zone = MeshOptions::default().watchers_per_zone;
    let watchers = in_zones
        .values()
        .map(|count| *count.min(&watchers_per_zone));
    Fleet {
        live_instances: count(in_zones.values().sum()),
        watchers: count(watchers.sum()),
        is_watcher,
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
