//! The names of routes as labels of metrics, bounded in number.

use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;

/// The most routes that have a label of their own. Each takes a histogram; a
/// configuration may have hundreds of routes of which few get requests.
const ROUTES_MAX: usize = 64;

/// The label of all others.
const OTHER: &str = "other";

/// The routes that have a label.
#[derive(Debug, Default)]
pub(super) struct RouteLabels(Mutex<HashMap<String, Arc<str>>>);

impl RouteLabels {
    /// Returns the label of a route; the first ones that have requests get one.
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
