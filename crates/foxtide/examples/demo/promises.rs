//! The result table: each promise with its limit and the measured value.

use std::fmt;

/// A promise, its limit and the measured value.
#[derive(Clone, Debug)]
pub(crate) struct Promise {
    pub(crate) tenant: &'static str,
    pub(crate) name: &'static str,
    pub(crate) limit: f64,
    pub(crate) measured: f64,
    pub(crate) unit: &'static str,
    /// Whether a slow machine alone can break it; CI prints such a promise
    /// without judging it.
    pub(crate) timed: bool,
}

impl Promise {
    pub(crate) fn held(&self) -> bool {
        self.measured <= self.limit
    }

    /// Returns whether the demo fails if this promise is broken.
    fn judged(&self, in_ci: bool) -> bool {
        !(self.timed && in_ci)
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.held() { "held" } else { "BROKEN" };
        write!(
            f,
            "{:<11} {:<46} {:>9.2} {:>9.2} {:<9} {verdict}",
            self.tenant, self.name, self.limit, self.measured, self.unit
        )
    }
}

/// Prints all promises; returns whether every judged promise held.
pub(crate) fn print_table(promises: &[Promise]) -> bool {
    let in_ci = std::env::var("CI").is_ok_and(|value| value == "true");
    println!(
        "\n{:<11} {:<46} {:>9} {:>9} {:<9} verdict",
        "tenant", "promise", "limit", "measured", "unit"
    );
    for promise in promises {
        let note = if promise.judged(in_ci) {
            ""
        } else {
            " (not judged in CI)"
        };
        println!("{promise}{note}");
    }
    let broken = promises.iter().filter(|it| !it.held() && it.judged(in_ci));
    let broken: Vec<&str> = broken.map(|it| it.name).collect();
    if broken.is_empty() {
        println!("\nAll promises held.");
    } else {
        println!("\nBroken: {}", broken.join("; "));
    }
    broken.is_empty()
}
