//! Exchanges reports of ended upstreams with the other instances.

use crate::datagram::{
    Datagram,
    QuarantineMessage,
    UpstreamEndMessage, //
};
use crate::dialect::Dialect;
use crate::journal::state_changes;
use crate::shared::Shared;
use foxtide_core::ids::RegionId;
use foxtide_core::poison::{
    ACKNOWLEDGEMENT_TIMEOUT,
    EndReport,
    Fingerprint,
    HOLD_DELAY,
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
    let mut report = EndReport {
        fingerprint,
        upstream: registration.upstream.clone(),
        born_at: registration.born_at,
        is_isolated: false,
    };
    // Not rate-limited if reported before: such a request is a likely cause.
    let is_reported = poison.was_reported(fingerprint) || poison.may_report(now);
    state_changes::upstream_ended(&report, under_way, is_reported);
    if !is_reported {
        return;
    }
    poison.record_report(fingerprint, now);
    let aggregators = aggregators(shared, fingerprint);
    let mut acknowledgements = poison.acknowledgements.lock();
    let is_region_silent = acknowledgements.expect(fingerprint, aggregators, now);
    drop(acknowledgements);
    report.is_isolated = is_region_silent && !poison.served.contains(fingerprint);
    send_report(shared, &report);
    let reporter = Arc::clone(shared);
    let expiry = async move {
        Timer::after(HOLD_DELAY).await;
        hold_in_region(&reporter, report.fingerprint);
        Timer::after(ACKNOWLEDGEMENT_TIMEOUT - HOLD_DELAY).await;
        expire_acknowledgements(&reporter, report);
    };
    shared.executor.spawn(expiry).detach();
}

/// Makes the instances of the region hold a request if a region has yet to acknowledge an end under
/// it.
fn hold_in_region<D: Dialect>(shared: &Arc<Shared<D>>, fingerprint: Fingerprint) {
    let poison = &shared.poison;
    let now = shared.clock.now();
    let is_awaited = poison.acknowledgements.lock().is_awaited(fingerprint);
    if !is_awaited || poison.served.contains(fingerprint) {
        return;
    }
    poison.holds.lock().hold(fingerprint, now);
    let number = shared.admission.next_datagram_number();
    let datagram = Datagram::held(number, fingerprint);
    send_with_resends(shared, neighbours(shared), datagram);
}

/// Ends the hold of a request in the region, if there is one.
fn lift_in_region<D: Dialect>(shared: &Arc<Shared<D>>, fingerprint: Fingerprint) {
    if shared.poison.lift(fingerprint) {
        let number = shared.admission.next_datagram_number();
        let datagram = Datagram::lifted(number, fingerprint);
        send_with_resends(shared, neighbours(shared), datagram);
    }
}

/// Handles the notice that a request is held.
pub(crate) fn receive_held<D: Dialect>(shared: &Shared<D>, hash: u64) {
    let now = shared.clock.now();
    let mut holds = shared.poison.holds.lock();
    holds.hold(Fingerprint::from_hash(hash), now);
}

/// Handles the notice that a request is held no longer.
pub(crate) fn receive_lifted<D: Dialect>(shared: &Shared<D>, hash: u64) {
    shared.poison.lift(Fingerprint::from_hash(hash));
}

/// Reports an end again if a region has not acknowledged it.
fn expire_acknowledgements<D: Dialect>(shared: &Arc<Shared<D>>, report: EndReport) {
    let poison = &shared.poison;
    let now = shared.clock.now();
    let silent = poison
        .acknowledgements
        .lock()
        .expire(report.fingerprint, now);
    if !silent.is_empty() {
        state_changes::end_unacknowledged(&report, &silent);
        if poison.served.contains(report.fingerprint) {
            lift_in_region(shared, report.fingerprint);
        } else {
            let is_isolated = true;
            send_report(
                shared,
                &EndReport {
                    is_isolated,
                    ..report
                },
            );
        }
        poison.acknowledged.notify(usize::MAX);
    }
}

fn send_report<D: Dialect>(shared: &Arc<Shared<D>>, report: &EndReport) {
    let number = shared.admission.next_datagram_number();
    let datagram = Datagram::end_report(number, report);
    send_to_aggregators(shared, report.fingerprint, &datagram);
    // Aggregated locally too, in case the aggregators are unreachable.
    aggregate(shared, report, Origin::Own);
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
    poison.served.record(fingerprint);
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
    poison.acknowledgements.lock().forget(fingerprint);
    lift_in_region(shared, fingerprint);
}

/// Handles and acknowledges an end report of another instance.
pub(crate) fn receive_end_report<D: Dialect>(
    shared: &Arc<Shared<D>>,
    from: SocketAddr,
    number: u64,
    message: &UpstreamEndMessage,
) {
    let report = match message.report() {
        Ok(report) => report,
        Err(error) => {
            log::debug!("invalid end report from {from}: {error}");
            return;
        }
    };
    let fingerprint = report.fingerprint;
    aggregate(shared, &report, Origin::Peer);
    let acknowledgement = Datagram::end_acknowledged(number, fingerprint);
    shared.admission.send(from, &acknowledgement);
    // An instance of another region may not know of the quarantine yet.
    let entry = shared.poison.quarantine.lock().entry(fingerprint);
    if let Some(entry) = entry {
        let quarantine = Datagram::quarantine(number, fingerprint, entry);
        shared.admission.send(from, &quarantine);
    }
}

/// Handles the acknowledgement of an end report.
pub(crate) fn receive_acknowledgement<D: Dialect>(
    shared: &Arc<Shared<D>>,
    from: SocketAddr,
    hash: u64,
) {
    let fingerprint = Fingerprint::from_hash(hash);
    let mut acknowledgements = shared.poison.acknowledgements.lock();
    let is_complete = acknowledgements.acknowledge(fingerprint, from);
    drop(acknowledgements);
    if is_complete {
        lift_in_region(shared, fingerprint);
    }
}

/// Handles the notice that a reported request was served.
pub(crate) fn receive_cleared<D: Dialect>(shared: &Arc<Shared<D>>, hash: u64) {
    let poison = &shared.poison;
    let fingerprint = Fingerprint::from_hash(hash);
    poison.suspects.lock().clear(fingerprint);
    let is_released = poison.quarantine.lock().release_isolated(fingerprint);
    if is_released {
        state_changes::request_released(fingerprint);
        let number = shared.admission.next_datagram_number();
        let datagram = Datagram::cleared(number, fingerprint);
        send_with_resends(shared, neighbours(shared), datagram);
    }
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
///
/// The first end that was not acknowledged is written by its reporter, which may claim a retry.
fn aggregate<D: Dialect>(shared: &Arc<Shared<D>>, report: &EndReport, reporter: Origin) {
    let now = shared.clock.now();
    let verdict = shared.poison.suspects.lock().report(report, now);
    let Some(ends) = verdict else {
        return;
    };
    let entry = QuarantineEntry { ends, trials: 0 };
    state_changes::request_quarantined(report, ends);
    let draw = fastrand::f64();
    let fingerprint = report.fingerprint;
    let is_evidence = entry.is_evidence();
    let origin = if is_evidence { Origin::Own } else { reporter };
    let mut quarantine = shared.poison.quarantine.lock();
    let is_new = quarantine.merge(fingerprint, entry, origin, draw, now);
    drop(quarantine);
    shared.poison.lift(fingerprint);
    if is_new && is_evidence {
        shared.poison.store_writer.write();
    }
    let number = shared.admission.next_datagram_number();
    let datagram = Datagram::quarantine(number, fingerprint, entry);
    send_with_resends(shared, neighbours(shared), datagram);
}

/// Returns the addresses of the other instances of the region.
fn neighbours<D: Dialect>(shared: &Shared<D>) -> Vec<SocketAddr> {
    let own = shared.admission.address();
    let region = &shared.options.place.region;
    let state = shared.state.lock();
    let of_region = state.members().all().filter(|one| one.region == *region);
    let addresses = of_region.map(|member| member.datagram_address);
    addresses.filter(|address| *address != own).collect()
}

/// Returns the addresses and regions of the aggregators of a request, except this instance.
fn aggregators<D: Dialect>(
    shared: &Shared<D>,
    fingerprint: Fingerprint,
) -> Vec<(SocketAddr, RegionId)> {
    let own = shared.admission.address();
    let state = shared.state.lock();
    let region = &shared.options.place.region;
    let aggregators = state.members().aggregators(fingerprint, region);
    let others = aggregators
        .into_iter()
        .filter(|one| one.datagram_address != own);
    others
        .map(|one| (one.datagram_address, one.region.clone()))
        .collect()
}

/// Sends a datagram to the aggregators of a request, except this instance.
fn send_to_aggregators<D: Dialect>(
    shared: &Arc<Shared<D>>,
    fingerprint: Fingerprint,
    datagram: &Datagram,
) {
    let aggregators = aggregators(shared, fingerprint).into_iter();
    let addresses = aggregators.map(|(address, _)| address).collect();
    send_with_resends(shared, addresses, datagram.clone());
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
