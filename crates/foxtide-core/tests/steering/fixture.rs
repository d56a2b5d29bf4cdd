//! An organisation with three regions and two services.

use foxtide_core::ids::RegionId;
use foxtide_core::organisation::Organisation;

/// The parameters of the organisation.
#[derive(Clone, Debug)]
pub(crate) struct OrganisationOptions {
    /// The shift cap of each service, in shares per second.
    pub(crate) shift_cap_share_per_s: f64,
    /// The spill-over limit of each service.
    pub(crate) spill_limit_share: f64,
    /// The sold rate of each region, in requests per second.
    pub(crate) region_rps: f64,
    /// The sold rate of each link, in requests per second.
    pub(crate) link_rps: f64,
    /// The priority of each service: `latency` or `headroom`.
    pub(crate) priority: &'static str,
}

impl Default for OrganisationOptions {
    fn default() -> Self {
        Self {
            shift_cap_share_per_s: 0.02,
            spill_limit_share: 0.2,
            region_rps: 300.0,
            link_rps: 200.0,
            priority: "headroom",
        }
    }
}

/// The regions, all of which are homes of all services.
pub(crate) const REGIONS: [&str; 3] = ["khomas", "erongo", "oshana"];

pub(crate) const SERVICES: [&str; 2] = ["viewer", "notices"];

pub(crate) fn region(name: &str) -> RegionId {
    name.parse().expect("a region's name")
}

/// Returns an organisation with two upstreams per service and region.
pub(crate) fn organisation(options: &OrganisationOptions) -> Organisation {
    let regions = REGIONS.map(|region| {
        serde_json::json!({
            "region": region,
            "availability_zones": [format!("{region}-a"), format!("{region}-b")],
            "sold_rate_rps": options.region_rps,
        })
    });
    let pairs = REGIONS
        .iter()
        .flat_map(|from| REGIONS.map(|to| (*from, to)));
    let links = pairs.filter(|(from, to)| from != to).map(|(from, to)| {
        serde_json::json!({
            "from": from, "to": to, "sold_rate_rps": options.link_rps, "delay_ms": 35.0,
        })
    });
    let document = serde_json::json!({
        "schema_version": 1, "organisation": "hamutenya", "revision": 1, "change_id": "c1",
        "regions": regions,
        "links": links.collect::<Vec<_>>(),
        "services": SERVICES.map(|service| service_document(service, options)),
    });
    serde_json::from_value(document).expect("a valid organisation")
}

fn service_document(service: &str, options: &OrganisationOptions) -> serde_json::Value {
    let homes = REGIONS.map(|region| serde_json::json!({"region": region, "share": 1.0 / 3.0}));
    let zones = REGIONS
        .iter()
        .flat_map(|region| ["a", "b"].map(|zone| (*region, zone)));
    let upstreams = zones.map(|(region, zone)| {
        serde_json::json!({
            "upstream": format!("{service}-{region}-{zone}"), "address": "127.0.0.1:9000",
            "region": region, "availability_zone": format!("{region}-{zone}"),
            "slots": 4, "connections": 360,
        })
    });
    serde_json::json!({
        "service": service,
        "contract": {
            "homes": homes,
            "spill_limit_share": options.spill_limit_share,
            "shift_cap_share_per_s": options.shift_cap_share_per_s,
            "drain_window_s": 30, "deadline_ms": 2000, "priority": options.priority,
            "idempotent_methods": ["GET"],
        },
        "upstreams": upstreams.collect::<Vec<_>>(),
    })
}
