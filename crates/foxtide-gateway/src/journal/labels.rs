//! Bounds the number of routes that are used as metric labels.

use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;

/// The maximum number of routes with their own label, each of which costs a histogram.
const ROUTES_MAX: usize = 64;

/// The label of all other routes.
const OTHER: &str = "other";

/// The routes with their own label.
#[derive(Debug, Default)]
pub(super) struct RouteLabels(Mutex<HashMap<String, Arc<str>>>);

impl RouteLabels {
    /// Returns the label of a route; the first routes with requests get their own.
    pub(super) fn label(&self, route: &str) -> Arc<str> {
        let mut labels = self.0.lock();
        if let Some(label) = labels.get(route) {
            return Arc::clone(label);
        }
        if labels.len() >= ROUTES_MAX {
            return Arc::from(OTHER);
        }
        let label: Arc<str> = Arc::from(route);
        labels.insert(route.to_owned(), Arc::clone(&label));
        label
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn verify_the_number_of_labels_is_bounded() {
        let labels = RouteLabels::default();
        for number in 0..1_000 {
            labels.label(&format!("route-{number}"));
        }
        assert_eq!(&*labels.label("route-0"), "route-0");
        assert_eq!(&*labels.label("route-999"), OTHER);
        assert_eq!(labels.0.lock().len(), ROUTES_MAX);
    }
}
