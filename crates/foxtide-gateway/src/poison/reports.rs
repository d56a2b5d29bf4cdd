//! Exchanges reports of ended upstreams with the other instances.

use super::Poison;
use crate::datagram::{
    Datagram,
    QuarantineMessage,
    UpstreamEndMessage, //
};
use crate::dialect::Dialect;
use crate::journal::state_changes;
use crate::shared::Shared;
use foxtide_core::poison::{
    EndReport,
    Fingerprint,
    Origin,
    QuarantineEntry, //
};
use foxtide_core::registry::Registration;
use smol::Timer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The delays of the copies of a datagram, which compensate for loss. The first one is shorter than
/// the delay of a retry. Three in ten datagrams may be lost on a bad link.
const RESEND_DELAYS: [Duration; 2] = [Duration::from_millis(60), Duration::from_millis(90)];

/// Reports that an upstream ended while it served a request; `under_way` requests of this
/// instance were in flight there.
pub(crate) fn report_upstream_end<D: Dialect>(
    shared: &Arc<Shared<D>>,
    fingerprint: Fingerprint,
    registration: &Registration,
    under_way: u32,
) {
    let now = shared.clock.now();
    let poison = &shared.poison;
    let report = EndReport {
        fingerprint,
        upstream: registration.upstream.clone(),
        born_at: registration.born_at,
    };
    // Not rate-limited if reported before: such a request is a likely cause.
    let is_reported = poison.was_reported(fingerprint) || poison.may_report(now);
    state_changes::upstream_ended(&report, under_way, is_reported);
    if !is_reported {
        return;
    }
    poison.record_report(fingerprint, now);
    let number = shared.admission.next_datagram_number();
    let datagram = Datagram::end_report(number, &report);
    send_to_aggregators(shared, fingerprint, &datagram);
    // Aggregated locally too, in case the aggregators are unreachable.
    aggregate(shared, &report);
}

/// Resends the end reports for newly quarantined requests. This instance may have been
/// disconnected, and the trials depend on the number of ends.
pub(crate) fn resend_reports<D: Dialect>(shared: &Arc<Shared<D>>, quarantined: &[Fingerprint]) {
    for &fingerprint in quarantined {
        let reports = shared.poison.suspects.lock().reports(fingerprint);
        for report in reports {
            let number = shared.admission.next_datagram_number();
            let datagram = Datagram::end_report(number, &report);
            send_to_aggregators(shared, fingerprint, &datagram);
        }
    }
}

/// Records that a request was served, which clears it if it was reported or quarantined.
pub(crate) fn record_served<D: Dialect>(shared: &Arc<Shared<D>>, fingerprint: Fingerprint) {
    let poison = &shared.poison;
    let was_reported = poison.reported.lock().remove(&fingerprint).is_some();
    let is_quarantined = poison.quarantine.lock().contains(fingerprint);
    if !was_reported && !is_quarantined {
        return;
    }
    if is_quarantined {
        poison.release(fingerprint);
        poison.store_writer.remove(fingerprint);
    }
    let number = shared.admission.next_datagram_number();
    let datagram = Datagram::cleared(number, fingerprint);
    send_to_aggregators(shared, fingerprint, &datagram);
    poison.suspects.lock().clear(fingerprint);
}

/// Handles an end report of another instance.
pub(crate) fn receive_end_report<D: Dialect>(
    shared: &Arc<Shared<D>>,
    from: SocketAddr,
    message: &UpstreamEndMessage,
) {
    match message.report() {
        Ok(report) => aggregate(shared, &report),
        Err(error) => log::debug!("invalid end report from {from}: {error}"),
    }
}

/// Handles the notice that a reported request was served.
pub(crate) fn receive_cleared(poison: &Poison, hash: u64) {
    let fingerprint = Fingerprint::from_hash(hash);
    poison.suspects.lock().clear(fingerprint);
}

/// Handles the notice that a request is quarantined.
pub(crate) fn receive_quarantine<D: Dialect>(
    shared: &Shared<D>,
    from: SocketAddr,
    message: &QuarantineMessage,
) {
    let now = shared.clock.now();
    let poison = &shared.poison;
    poison.merge_from_peer(message.fingerprint(), message.entry(), &from, now);
}

/// Counts an end; if its request is to be quarantined, notifies the instances of the region.
/// The aggregators of the other regions receive the same reports.
fn aggregate<D: Dialect>(shared: &Arc<Shared<D>>, report: &EndReport) {
    let now = shared.clock.now();
    let verdict = shared.poison.suspects.lock().report(report, now);
    let Some(ends) = verdict else {
        return;
    };
    let entry = QuarantineEntry { ends, trials: 0 };
    state_changes::request_quarantined(report, ends);
    let draw = fastrand::f64();
    let fingerprint = report.fingerprint;
    let mut quarantine = shared.poison.quarantine.lock();
    let is_new = quarantine.merge(fingerprint, entry, Origin::Own, draw, now);
    drop(quarantine);
    if is_new {
        shared.poison.store_writer.write();
    }
    let own = shared.admission.address();
    let region = &shared.options.place.region;
    let neighbours: Vec<SocketAddr> = {
        let state = shared.state.lock();
        let members = state.members().all();
        let of_region = members.filter(|member| member.region == *region);
        let addresses = of_region.map(|member| member.datagram_address);
        addresses.filter(|address| *address != own).collect()
    };
    let number = shared.admission.next_datagram_number();
    let datagram = Datagram::quarantine(number, fingerprint, entry);
    send_with_resends(shared, neighbours, datagram);
}

/// Sends a datagram to the aggregators of a request, except this instance.
fn send_to_aggregators<D: Dialect>(
    shared: &Arc<Shared<D>>,
    fingerprint: Fingerprint,
    datagram: &Datagram,
) {
    let own = shared.admission.address();
    let aggregators: Vec<SocketAddr> = {
        let state = shared.state.lock();
        let region = &shared.options.place.region;
        let aggregators = state.members().aggregators(fingerprint, region);
        let addresses = aggregators.iter().map(|member| member.datagram_address);
        addresses.filter(|address| *address != own).collect()
    };
    send_with_resends(shared, aggregators, datagram.clone());
}

/// Sends a datagram several times to compensate for loss; receiving it is idempotent.
fn send_with_resends<D: Dialect>(shared: &Arc<Shared<D>>, to: Vec<SocketAddr>, datagram: Datagram) {
    let sender = Arc::clone(shared);
    let send_all = move || {
        for address in &to {
            sender.admission.send(*address, &datagram);
        }
    };
    send_all();
    let again = async move {
        for pause in RESEND_DELAYS {
            Timer::after(pause).await;
            send_all();
        }
    };
    shared.executor.spawn(again).detach();
}
