//! Checks that docs/SETTINGS.md lists every field and default.

use foxtide_config::Settings;
use foxtide_config::settings::Limits;
use serde_json::Value;
use std::path::PathBuf;

fn page() -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(root.join("../../docs/SETTINGS.md")).expect("readable")
}

#[test]
fn verify_the_page_lists_every_limit_and_its_default() {
    let page = page();
    let limits = serde_json::to_value(Limits::default()).unwrap();
    for (group, fields) in limits.as_object().unwrap() {
        for (field, default) in fields.as_object().unwrap() {
            let default = default.as_f64().unwrap();
            let row = format!("| `{group}.{field}` | {default} |");
            assert!(page.contains(&row), "{row}");
        }
    }
}

#[test]
fn verify_the_page_lists_every_field() {
    let page = page();
    let example =
        PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/hamutenya/settings.jsonc");
    let settings = Settings::load(&example).unwrap();
    let Value::Object(fields) = serde_json::to_value(settings).unwrap() else {
        panic!("settings are an object");
    };
    for field in fields.keys() {
        assert!(page.contains(&format!("`{field}`")), "{field}");
    }
}
