//! What instances tell each other of upstreams that end.

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

/// After what pauses a datagram is sent again. Three in ten may be lost on a bad link; the
/// first pause is shorter than the repeat of a request waits.
const RESEND_DELAYS: [Duration; 2] = [Duration::from_millis(60), Duration::from_millis(90)];

/// Takes in that an upstream has ended while it worked on a request, beside which this
/// instance had others there: `under_way`, that one among them.
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
    // One under which this instance has seen an end before is likelier the cause than any
    // other, and few are.
    let is_reported = poison.was_reported(fingerprint) || poison.may_report(now);
    state_changes::upstream_ended(&report, under_way, is_reported);
    if !is_reported {
        return;
    }
    poison.record_report(fingerprint, now);
    let number = shared.admission.next_datagram_number();
    let datagram = Datagram::end_report(number, &report);
    send_to_aggregators(shared, fingerprint, &datagram);
    // An instance knows its own ends whatever becomes of the aggregators.
    aggregate(shared, &report);
}

/// Reports the ends that this instance knows under requests which others have quarantined: it
/// may have been cut off, and trials depend on how many there are.
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

/// Takes in that a request was served: where this instance has reported an end under it, or
/// it is quarantined, it is not the cause.
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

/// Takes in an upstream's end that another instance reports.
pub(crate) fn receive_end_report<D: Dialect>(
    shared: &Arc<Shared<D>>,
    from: SocketAddr,
    message: &UpstreamEndMessage,
) {
    match message.report() {
        Ok(report) => aggregate(shared, &report),
        Err(error) => log::debug!("what {from} reports of an upstream is wrong: {error}"),
    }
}

/// Takes in that another instance has had a request served under which it had reported an end.
pub(crate) fn receive_cleared(poison: &Poison, hash: u64) {
    let fingerprint = Fingerprint::from_hash(hash);
    poison.suspects.lock().clear(fingerprint);
}

/// Takes in that a request is quarantined.
pub(crate) fn receive_quarantine<D: Dialect>(
    shared: &Shared<D>,
    from: SocketAddr,
    message: &QuarantineMessage,
) {
    let now = shared.clock.now();
    let poison = &shared.poison;
    poison.merge_from_peer(message.fingerprint(), message.entry(), &from, now);
}

/// Counts an end, and tells the region's instances where its request is to be quarantined;
/// the aggregators of the other regions hear of the same ends.
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

/// Sends a datagram to the aggregators of a request, but for this instance.
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

/// Sends a datagram several times: some are lost, and taking one in twice changes nothing.
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
