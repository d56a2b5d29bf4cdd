//! Probing within zones that delegates connect, against one group of all
//! instances. On a virtual clock.

use crate::report::{Limit, Report};
use foxtide_testing::{VirtualFleet, VirtualFleetOptions};
use std::time::Duration;

const INSTANCES: usize = 150;

/// Every third instance is cut off; with zones these are whole regions.
const CUT_STEP: usize = 3;

const PHASE: Duration = Duration::from_secs(60);

/// Compares both groupings.
pub(crate) fn run(report: &mut Report) {
    for (name, zones) in [("one_group", 1), ("zones", 15)] {
        let mut fleet = VirtualFleet::new(VirtualFleetOptions {
            instances: INSTANCES,
            zones,
            ..VirtualFleetOptions::default()
        });
        fleet.run_for(PHASE);
        let name = format!("membership.scope.{name}");
        let steady = sent_in_phase(&mut fleet);
        show(report, &format!("{name}.steady"), steady);
        fleet.cut_off((0..INSTANCES).step_by(CUT_STEP));
        let cut = sent_in_phase(&mut fleet);
        show(report, &format!("{name}.region_cut_off"), cut);
        fleet.heal();
        let took = fleet.run_until(PHASE, VirtualFleet::all_agree);
        let took_s = took.unwrap_or(PHASE).as_secs_f64();
        let figure = format!("{name}.all_agree_after_healing");
        report.figure(&figure, took_s, "s", Limit::None);
    }
}

/// Returns the datagrams of one instance in one second.
fn sent_in_phase(fleet: &mut VirtualFleet) -> f64 {
    let before = fleet.sent();
    fleet.run_for(PHASE);
    (fleet.sent() - before) as f64 / INSTANCES as f64 / PHASE.as_secs_f64()
}

fn show(report: &mut Report, name: &str, sent: f64) {
    report.figure(name, sent, "1/s/inst", Limit::None);
}
