//! Checks that the examples are valid and have the expected sizes.

#[allow(dead_code)]
mod support;

use foxtide_config::template::Parameters;
use foxtide_config::{
    Settings,
    Template,
    change, //
};
use serde_json::json;
use support::example;

struct Example {
    name: &'static str,
    regions: [&'static str; 3],
    services: [&'static str; 4],
    connections: u32,
    delay_ms: f64,
}

const EXAMPLES: [Example; 2] = [
    Example {
        name: "hamutenya",
        regions: ["khomas", "erongo", "oshana"],
        services: ["viewer", "notices", "archive", "hazards"],
        connections: 360,
        delay_ms: 35.0,
    },
    Example {
        name: "kluisdepot",
        regions: ["bru", "antw", "gent"],
        services: ["slotfinder", "doorctl", "hotellink", "ledger"],
        connections: 330,
        delay_ms: 55.0,
    },
];

#[test]
fn verify_the_templates_have_the_expected_sizes() {
    for expected in EXAMPLES {
        let file = example(&format!("{}/template.jsonc", expected.name));
        let template = Template::load(&file).unwrap();
        let name = expected.name.parse().unwrap();
        let document = template.instantiate(&name, &Parameters::new()).unwrap();
        change::check(&document).unwrap();
        let regions: Vec<&str> = document
            .regions
            .iter()
            .map(|one| one.region.as_str())
            .collect();
        assert_eq!(regions, expected.regions);
        assert!(
            document
                .regions
                .iter()
                .all(|one| one.availability_zones.len() == 2)
        );
        assert_eq!(document.links.len(), 6);
        assert!(
            document
                .links
                .iter()
                .all(|link| link.delay_ms == expected.delay_ms)
        );
        let services: Vec<&str> = document
            .services
            .iter()
            .map(|one| one.service.as_str())
            .collect();
        assert_eq!(services, expected.services);
        for service in &document.services {
            assert_eq!(service.upstreams.len(), 12);
            let sized = |slots, connections| {
                (3..=4).contains(&slots) && connections == expected.connections
            };
            assert!(
                service
                    .upstreams
                    .iter()
                    .all(|one| sized(one.slots, one.connections))
            );
        }
    }
}

#[test]
fn verify_the_settings_are_valid() {
    for expected in EXAMPLES {
        let file = example(&format!("{}/settings.jsonc", expected.name));
        let settings = Settings::load(&file).unwrap();
        assert_eq!(settings.organisations[0].as_str(), expected.name);
    }
}

#[test]
fn verify_the_parameters_fit_the_templates() {
    for expected in EXAMPLES {
        let template =
            Template::load(&example(&format!("{}/template.jsonc", expected.name))).unwrap();
        let file = example(&format!("{}/parameters.jsonc", expected.name));
        let text = foxtide_config::document::read_text(&file).unwrap();
        let given = foxtide_config::document::parse("parameters", &text).unwrap();
        let document = template
            .instantiate(&expected.name.parse().unwrap(), &given)
            .unwrap();
        change::check(&document).unwrap();
    }
}

#[test]
fn verify_a_newer_template_does_not_change_existing_documents() {
    let text = std::fs::read_to_string(example("hamutenya/template.jsonc")).unwrap();
    let old = Template::parse("template", &text).unwrap();
    let newer = text
        .replace("\"version\": 1", "\"version\": 2")
        .replace("\"default\": 2000,", "\"default\": 1500,");
    let newer = Template::parse("template", &newer).unwrap();
    let name = "hamutenya".parse().unwrap();
    let made = old.instantiate(&name, &Parameters::new()).unwrap();
    let again = newer.instantiate(&name, &Parameters::new()).unwrap();
    assert_eq!(made.services[0].contract.deadline_ms, 2_000);
    assert_eq!(again.services[0].contract.deadline_ms, 1_500);
    assert_eq!(made.template.unwrap().version, 1);
}

#[test]
fn verify_given_parameters_override_defaults() {
    let template = Template::load(&example("kluisdepot/template.jsonc")).unwrap();
    let given = Parameters::from([("slotfinder_deadline_ms".to_owned(), json!(650))]);
    let document = template
        .instantiate(&"kluisdepot".parse().unwrap(), &given)
        .unwrap();
    assert_eq!(document.services[0].contract.deadline_ms, 650);
    assert_eq!(document.template.unwrap().parameters, given);
}
