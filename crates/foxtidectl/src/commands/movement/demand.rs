//! Checks the traffic of a move against the sold rates.

use super::forecast;
use crate::failure::Failure;
use foxtide_core::organisation::{
    Organisation,
    PlannedMove, //
};
use foxtide_core::units::RequestRate;

/// Checks that the traffic of a completed move fits the sold rates of the link and of
/// the receiving region.
///
/// `demand` is the service's traffic that arrives in the source region. Traffic of other
/// services is not included; instances enforce the limits in any case.
pub(super) fn check(
    document: &Organisation,
    movement: &PlannedMove,
    demand: RequestRate,
) -> Result<(), Failure> {
    let end = movement.start_us + forecast::duration(document, movement);
    let shares = forecast::shares(document, movement, end);
    let regions = document.regions.iter().zip(shares);
    for (region, share) in regions.filter(|(region, _)| region.region != movement.from) {
        let moved_rate = RequestRate::clamped(share * demand.get());
        let link = document.link(&movement.from, &region.region);
        let link_rate = link.map_or(RequestRate::ZERO, |link| link.sold_rate_rps);
        let sold_rate = if link_rate < region.sold_rate_rps {
            link_rate
        } else {
            region.sold_rate_rps
        };
        if moved_rate > sold_rate {
            let problem = format!(
                "the move sends {:.0}rps from {} to {}, above the sold rate of {sold_rate}",
                moved_rate.get(),
                movement.from,
                region.region
            );
            let advice =
                "move a smaller share, or raise the sold rates of the link and the region first";
            return Err(Failure::refused(problem, advice));
        }
    }
    Ok(())
}
