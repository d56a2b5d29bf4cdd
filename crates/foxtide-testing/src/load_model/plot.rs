//! Plots of worth and load over time.

use super::outcome::LoadOutcome;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

const SIZE_PX: (u32, u32) = (900, 520);
const WINDOW_S: f64 = 2.0;

/// Plots the worth (left axis) and the requests at upstreams (right axis) of several
/// runs into an SVG file.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn plot(path: &Path, runs: &[(&str, &LoadOutcome)]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let windows = runs.iter().map(|(_, run)| run.windows.len()).max();
    let length_s = windows.unwrap_or(0) as f64 * WINDOW_S;
    let of_all = |run: &&LoadOutcome| run.windows.iter().map(|window| window.in_flight_max).max();
    let load_max = runs.iter().filter_map(|(_, run)| of_all(run)).max();
    let load_max = load_max.unwrap_or(1) as f64 * 1.1;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "worth (solid), requests at upstreams (thin)",
            ("sans-serif", 18),
        )
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .right_y_label_area_size(45)
        .build_cartesian_2d(0.0..length_s, 0.0..1.0)?
        .set_secondary_coord(0.0..length_s, 0.0..load_max);
    chart.configure_mesh().x_desc("seconds").draw()?;
    chart.configure_secondary_axes().draw()?;
    for (number, (name, run)) in runs.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let at = |number: usize| (number as f64 + 0.5) * WINDOW_S;
        let windows = || run.windows.iter().enumerate();
        let worth = windows().map(|(number, window)| (at(number), window.mean_worth()));
        chart
            .draw_series(LineSeries::new(worth, colour.stroke_width(3)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour.stroke_width(3)));
        let load = windows().map(|(number, window)| (at(number), window.in_flight_max as f64));
        chart.draw_secondary_series(LineSeries::new(load, colour.stroke_width(1)))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
