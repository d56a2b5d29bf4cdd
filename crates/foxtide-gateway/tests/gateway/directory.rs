//! Look-ups in a region whose instances have links of different widths.

use crate::support::{
    Fleet,
    Instance,
    eventually, //
};
use std::collections::HashSet;
use std::time::Duration;

/// Returns the addresses that a look-up at `instance` names.
fn named(instance: &Instance) -> HashSet<String> {
    let body = instance.get("/lookup?region=khomas", "").body;
    let text = String::from_utf8(body).unwrap();
    let addresses = text.split(' ').next().unwrap_or_default();
    addresses.split(',').map(str::to_owned).collect()
}

fn addresses(instances: &[&Instance]) -> HashSet<String> {
    let addresses = instances.iter().map(|one| one.address().to_string());
    addresses.collect()
}

/// Guards against callers that are directed to wide instances that do not answer, and to narrow
/// ones while the wide ones do.
#[test]
fn verify_narrow_instances_are_named_only_while_wide_ones_do_not_answer() {
    let fleet = Fleet::new();
    let wide: Vec<Instance> = (0..3)
        .map(|number| fleet.instance_with_link(&format!("wide-{number}"), 200))
        .collect();
    let narrow: Vec<Instance> = (0..2)
        .map(|number| fleet.instance_with_link(&format!("narrow-{number}"), 10))
        .collect();
    let wide: Vec<&Instance> = wide.iter().collect();
    let narrow: Vec<&Instance> = narrow.iter().collect();
    eventually("the wide instances are named", || {
        named(narrow[0]) == addresses(&wide)
    });
    wide.iter()
        .for_each(|instance| instance.stall(Duration::from_secs(6)));
    eventually("the narrow instances are named", || {
        named(narrow[0]) == addresses(&narrow)
    });
    eventually("the wide instances are named again", || {
        named(narrow[0]) == addresses(&wide)
    });
}
