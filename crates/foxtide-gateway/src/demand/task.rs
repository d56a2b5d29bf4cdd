//! Runs the exchange of an instance.

use super::exchange::{
    DemandExchange,
    FleetView, //
};
use crate::datagram::{
    Datagram,
    DemandReportMessage,
    DemandSummaryMessage, //
};
use foxtide_core::placement::demand::{
    KnownDemand,
    RegionHash, //
};
use foxtide_core::time::MonotonicTime;
use smol::Timer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The mean time between two reports.
const PERIOD: Duration = Duration::from_secs(1);

/// The part of the period by which it varies either way, so that the reports of instances that
/// started together do not arrive together.
const JITTER: f64 = 0.1;

/// What the exchange needs of its instance.
pub(crate) trait DemandHost {
    /// Returns what the instance has received.
    fn exchange(&self) -> &DemandExchange;

    /// Returns the time.
    fn now(&self) -> MonotonicTime;

    /// Returns the region of the instance.
    fn region(&self) -> RegionHash;

    /// Returns the fleet and the demand of the instance's callers; `None` if no service stands in
    /// several regions.
    fn fleet_view(&self) -> Option<FleetView>;

    /// Moves the regional shares towards those that follow from the demand of all regions, if it is
    /// known.
    fn follow_demand(&self, known: Option<&KnownDemand>);

    /// Sends a datagram to another instance.
    fn send(&self, to: SocketAddr, datagram: &Datagram);
}

/// Exchanges demand until the future is dropped.
pub(crate) async fn exchange_demand<H: DemandHost>(host: Arc<H>) {
    loop {
        let part = 1.0 + JITTER * (2.0 * fastrand::f64() - 1.0);
        Timer::after(PERIOD.mul_f64(part)).await;
        let Some(view) = host.fleet_view() else {
            host.follow_demand(None);
            continue;
        };
        for (to, datagram) in host.exchange().advance(&view, host.now()) {
            host.send(to, &datagram);
        }
        let known = host.exchange().known(&view, host.now());
        host.follow_demand(known.as_ref());
    }
}

/// Takes another instance's report and answers with the sums of all regions.
pub(crate) fn receive_report<H: DemandHost>(
    host: &H,
    from: SocketAddr,
    message: &DemandReportMessage,
) {
    let exchange = host.exchange();
    for answer in exchange.take_report(from, host.region(), message, host.now()) {
        host.send(from, &answer);
    }
}

/// Takes the sums of regions from an aggregator.
pub(crate) fn receive_summary<H: DemandHost>(
    host: &H,
    from: SocketAddr,
    message: &DemandSummaryMessage,
) {
    host.exchange().take_summary(from, message, host.now());
}
