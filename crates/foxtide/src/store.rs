//! Opens the HTTP store and keeps its call budget up to date.

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

/// The store client of an instance.
pub(crate) type NodeStore = BudgetedStore<HttpStore>;

const BUDGET_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Opens the store at the configured address.
///
/// The budget initially assumes a fleet of one instance, so that the
/// configuration can be read at once; the token bucket bounds the burst.
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

/// Adjusts the budget to the number of live members until the process ends.
pub(crate) async fn update_budget(store: Arc<NodeStore>, mesh: MeshHandle) {
    loop {
        store.set_fleet(count_fleet(&mesh.members(), mesh.is_watcher()));
        Timer::after(BUDGET_UPDATE_INTERVAL).await;
    }
}

/// Counts the members that share the store's call rates.
fn count_fleet(members: &[Member], is_watcher: bool) -> Fleet {
    let running = members.iter().filter(|member| member.state.is_running());
    let mut zone_counts: BTreeMap<&AvailabilityZoneId, usize> = BTreeMap::new();
    for member in running {
        *zone_counts.entry(&member.availability_zone).or_default() += 1;
    }
    let watchers_per_zone = MeshOptions::default().watchers_per_zone;
    let watchers = zone_counts
        .values()
        .map(|count| *count.min(&watchers_per_zone));
    Fleet {
        live_instances: saturating_u32(zone_counts.values().sum()),
        watchers: saturating_u32(watchers.sum()),
        is_watcher,
    }
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
