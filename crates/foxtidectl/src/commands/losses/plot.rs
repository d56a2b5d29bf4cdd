//! Draws request outcomes, slot waits and regions over time as SVG.

use super::tally::{
    Counts,
    Tally, //
};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::error::Error;
use std::path::Path;

const SIZE_PX: (u32, u32) = (900, 900);

/// The maximum number of regions drawn.
const REGIONS_MAX: usize = 8;

/// A curve of a chart: its name and its value in each window.
type Curve = (String, Vec<f64>);

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws three charts, one below the other: request outcomes, slot waits and regions.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub(super) fn plot(path: &Path, tally: &Tally) -> Result<(), Box<dyn Error>> {
    let windows = tally.by_window();
    let length = windows.keys().next_back().map_or(1, |&last| last + 1);
    let per_second = |value_of: &dyn Fn(&Counts) -> f64| -> Vec<f64> {
        let rate = |window| windows.get(&window).map_or(0.0, value_of) / tally.window_s;
        (0..length).map(rate).collect()
    };
    let curve =
        |name: &str, value_of: &dyn Fn(&Counts) -> f64| (name.to_owned(), per_second(value_of));
    let outcomes = [
        curve("in time", &|counts| counts.in_time as f64),
        curve("late", &|counts| counts.late as f64),
        curve("refused", &|counts| counts.refused as f64),
        curve("failed", &|counts| counts.failed as f64),
    ];
    let waits = [curve("waiting for slots", &|counts| counts.slot_wait_s)];
    let regions: Vec<Curve> = busiest_regions(&windows)
        .into_iter()
        .map(|region| {
            curve(&region, &|counts| {
                counts.regions.get(&region).copied().unwrap_or_default() as f64
            })
        })
        .collect();
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let parts = area.split_evenly((3, 1));
    let charts = [
        ("requests per second by outcome", &outcomes[..]),
        ("requests waiting for a slot", &waits[..]),
        ("requests per second by region of the upstream", &regions),
    ];
    for (part, (title, curves)) in parts.iter().zip(charts) {
        chart(part, title, curves, tally.window_s)?;
    }
    area.present()?;
    Ok(())
}

/// Returns the regions with the most requests.
fn busiest_regions(windows: &BTreeMap<u64, Counts>) -> BTreeSet<String> {
    let mut sums: BTreeMap<&String, u64> = BTreeMap::new();
    for (region, count) in windows.values().flat_map(|counts| &counts.regions) {
        *sums.entry(region).or_default() += count;
    }
    let mut sums: Vec<(&String, u64)> = sums.into_iter().collect();
    sums.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    let most = sums.into_iter().take(REGIONS_MAX);
    most.map(|(region, _)| region.clone()).collect()
}

fn chart(
    area: &Area<'_>,
    title: &str,
    curves: &[Curve],
    window_s: f64,
) -> Result<(), Box<dyn Error>> {
    let windows = curves.iter().map(|(_, values)| values.len()).max();
    let length_s = windows.unwrap_or(1) as f64 * window_s;
    let values = curves.iter().flat_map(|(_, values)| values);
    let highest = values.copied().fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..length_s, 0.0..highest)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (number, (name, values)) in curves.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let points = values.iter().enumerate();
        let points = points.map(|(window, value)| ((window as f64 + 0.5) * window_s, *value));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
