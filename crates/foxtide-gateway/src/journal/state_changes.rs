//! Log lines and metrics about changes of the instance's state.

use crate::quotas::QuotaRefusal;
use foxtide_core::ids::{
    AvailabilityZoneId,
    InstanceId,
    RegionId,
    ServiceId,
    UpstreamId, //
};
use foxtide_core::placement::{
    AttemptResult,
    RegionShares, //
};
use foxtide_core::poison::{
    EndReport,
    Fingerprint,
    QuarantineEntry,
    StoredEntry, //
};
use foxtide_core::registry::{
    Member,
    RegistryChange, //
};
use foxtide_core::routing::{
    OrganisationTerms,
    RouteTable, //
};
use foxtide_core::store::StoreIndex;
use foxtide_events::{
    EventCode,
    log_event, //
};
use std::collections::{
    BTreeSet,
    HashSet, //
};
use std::fmt::Display;
use std::time::Duration;

/// Logs that a new configuration is in force.
pub(crate) fn configuration_in_force(version: u64, before: Option<u64>, routes: usize) {
    metrics::gauge!("foxtide_configuration_version").set(version as f64);
    let before = before.unwrap_or_default();
    log_event!(
        EventCode::ConfigurationApplied,
        version = version,
        before = before,
        routes = routes
    );
}

/// Logs that this instance reaches no upstream of a sample.
pub(crate) fn upstreams_cut_off(probed: usize) {
    metrics::gauge!("foxtide_upstreams_cut_off").set(1.0);
    log_event!(EventCode::UpstreamsCutOff, probed = probed);
}

/// Logs that this instance reaches upstreams again after `time`.
pub(crate) fn upstreams_reached(time: Duration) {
    metrics::gauge!("foxtide_upstreams_cut_off").set(0.0);
    log_event!(
        EventCode::UpstreamsReached,
        time_ms = time.as_millis() as u64
    );
}

/// Logs a request that is quarantined after `ends` upstreams have ended.
pub(crate) fn request_quarantined(report: &EndReport, ends: u32) {
    metrics::counter!("foxtide_requests_quarantined_total").increment(1);
    log_event!(
        EventCode::RequestQuarantined,
        fingerprint:% = report.fingerprint,
        ends = ends,
        upstream = report.upstream.as_str()
    );
}

/// Logs an upstream that ended while it served `under_way` requests of this instance.
pub(crate) fn upstream_ended(report: &EndReport, under_way: u32, is_reported: bool) {
    metrics::counter!("foxtide_upstream_ends_total").increment(1);
    log_event!(
        EventCode::UpstreamEnded,
        fingerprint:% = report.fingerprint,
        upstream = report.upstream.as_str(),
        under_way = under_way,
        reported = is_reported
    );
}

/// Logs the report of an end that regions did not acknowledge.
pub(crate) fn end_unacknowledged(report: &EndReport, regions: &BTreeSet<RegionId>) {
    metrics::counter!("foxtide_upstream_ends_unacknowledged_total").increment(1);
    let regions: Vec<&str> = regions.iter().map(RegionId::as_str).collect();
    log_event!(
        EventCode::EndUnacknowledged,
        fingerprint:% = report.fingerprint,
        upstream = report.upstream.as_str(),
        regions:% = regions.join(",")
    );
}

/// Logs a quarantined request that was learnt from the store or a peer.
pub(crate) fn quarantine_learnt(
    fingerprint: Fingerprint,
    entry: QuarantineEntry,
    from: &dyn Display,
) {
    log_event!(
        EventCode::QuarantineLearnt,
        fingerprint:% = fingerprint,
        from:% = from,
        ends = entry.ends,
        trials = entry.trials
    );
}

/// Logs a request that is no longer quarantined.
pub(crate) fn request_released(fingerprint: Fingerprint) {
    log_event!(EventCode::RequestReleased, fingerprint:% = fingerprint);
}

/// Logs the claim of the trial of a quarantined request.
pub(crate) fn trial_claimed(trial: &StoredEntry, is_claimed: bool) {
    log_event!(
        EventCode::TrialClaimed,
        fingerprint:% = trial.fingerprint,
        ends = trial.entry.ends,
        trial = trial.entry.trials,
        claimed = is_claimed
    );
}

/// Logs an offered configuration that is older than the one in force.
pub(crate) fn older_configuration_ignored(offered: u64, in_force: Option<u64>) {
    let in_force = in_force.unwrap_or_default();
    if offered < in_force {
        log_event!(
            EventCode::ConfigurationKept,
            version = in_force,
            told = offered
        );
    }
}

/// Logs that the store was restored from a backup.
pub(crate) fn store_restored(index: StoreIndex) {
    metrics::gauge!("foxtide_store_era").set(index.era() as f64);
    log_event!(EventCode::StoreRestored, era = index.era(), index:% = index);
}

/// Logs the organisations whose keys are disputed in a new configuration.
pub(crate) fn organisations_in_force(routes: &RouteTable) {
    let Some(organisations) = routes.organisations() else {
        return;
    };
    metrics::gauge!("foxtide_caller_keys").set(organisations.key_count() as f64);
    for organisation in organisations.disputed() {
        log_event!(
            EventCode::CallerKeyDisputed,
            version = routes.version(),
            organisation = organisation.as_str()
        );
    }
}

/// Logs that an organisation has used up its quota.
pub(crate) fn quota_reached(organisation: &OrganisationTerms, refusal: &QuotaRefusal) {
    let quota = organisation.quota;
    let rate_rps = quota.map_or(0.0, |quota| quota.rate.get());
    let burst = quota.map_or(0.0, |quota| quota.burst);
    log_event!(
        EventCode::QuotaReached,
        organisation = organisation.organisation.as_str(),
        rate_rps = rate_rps,
        burst = burst,
        cause = refusal.cause.as_str(),
        retry_after_ms = refusal.retry_after.as_millis() as u64
    );
}

/// Logs the set of evacuated availability zones.
pub(crate) fn zones_evacuated(zones: &HashSet<AvailabilityZoneId>) {
    let mut names: Vec<&str> = zones.iter().map(AvailabilityZoneId::as_str).collect();
    names.sort_unstable();
    let zones = names.join(" ");
    log_event!(EventCode::ZonesEvacuated, zones = zones.as_str());
}

/// Logs a change of the registered upstreams.
pub(crate) fn registry_changed(change: &RegistryChange) {
    match change {
        RegistryChange::None => {}
        RegistryChange::Joined(upstream) => {
            log_event!(EventCode::UpstreamAdded, upstream = upstream.as_str());
        }
        RegistryChange::Restarted(upstream) => {
            log_event!(EventCode::UpstreamRestarted, upstream = upstream.as_str());
        }
        RegistryChange::Left(upstream) => {
            log_event!(EventCode::UpstreamRemoved, upstream = upstream.as_str());
        }
        RegistryChange::Missing(upstream) => {
            log_event!(EventCode::UpstreamDoubted, upstream = upstream.as_str());
        }
    }
}

/// Logs and counts the ejection of an upstream.
pub(crate) fn upstream_ejected(upstream: &UpstreamId, failure_share: f64, result: AttemptResult) {
    metrics::counter!("foxtide_upstream_ejections_total").increment(1);
    log_event!(
        EventCode::UpstreamEjected,
        upstream = upstream.as_str(),
        failure_share = failure_share,
        result:? = result
    );
}

/// Logs an instance that joined.
pub(crate) fn member_joined(member: &Member) {
    log_event!(
        EventCode::MemberJoined,
        instance = member.instance.as_str(),
        address:% = member.caller_address
    );
}

/// Logs an instance whose lease has ended; it is gone, or doubted for a while.
pub(crate) fn member_left(instance: &InstanceId, is_gone: bool) {
    if is_gone {
        log_event!(EventCode::MemberLeft, instance = instance.as_str());
    } else {
        log_event!(EventCode::MemberDoubted, instance = instance.as_str());
    }
}

/// Logs the shares of requests that the regions serve; `route` is empty for all routes of the
/// service whose shares do not follow the demand.
pub(crate) fn region_shares_changed(service: &ServiceId, route: &str, shares: &RegionShares) {
    let shares = shares
        .iter()
        .map(|(region, share)| format!("{region}={share:.3}"));
    let shares = shares.collect::<Vec<_>>().join(" ");
    log_event!(
        EventCode::WeightsShifted,
        service = service.as_str(),
        route = route,
        shares = shares.as_str()
    );
}
