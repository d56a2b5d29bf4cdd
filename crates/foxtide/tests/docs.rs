//! Checks the links, dependencies and events in the documentation.

use foxtide_core::events::EventCode;
use std::fs;
use std::path::{
    Path,
    PathBuf, //
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the Markdown files of the repository.
fn pages() -> Vec<PathBuf> {
    files(&root(), "md")
}

/// Returns the files with an extension below a directory, without `target` and
/// hidden directories.
fn files(directory: &Path, extension: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap();
        if path.is_dir() && name != "target" && !name.starts_with('.') {
            found.extend(files(&path, extension));
        } else if path.extension().is_some_and(|found| found == extension) {
            found.push(path);
        }
    }
    found
}

/// Returns the targets of a page's links to other files.
fn links(text: &str) -> impl Iterator<Item = &str> {
    let targets = text
        .split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next());
    let files = targets.filter(|target| !target.contains("://") && !target.starts_with('#'));
    files.filter_map(|target| target.split('#').next())
}

#[test]
fn verify_links_lead_somewhere() {
    let mut broken = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        for link in links(&text) {
            if !page.parent().unwrap().join(link).exists() {
                broken.push(format!("{}: {link}", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn verify_every_dependency_is_documented() {
    let manifest = fs::read_to_string(root().join("Cargo.toml")).unwrap();
    let page = fs::read_to_string(root().join("docs/DEPENDENCIES.md")).unwrap();
    let section = manifest.split("[workspace.dependencies]").nth(1).unwrap();
    let section = section.split("\n[").next().unwrap();
    let names = section.lines().filter_map(|line| line.split_once(" = "));
    for (name, _) in names.filter(|(name, _)| !name.starts_with("foxtide")) {
        assert!(
            page.contains(&format!("`{name}`")),
            "{name} is not listed in docs/DEPENDENCIES.md"
        );
    }
}

/// Returns the event numbers, such as `F5003`, that a page names.
fn event_numbers(text: &str) -> impl Iterator<Item = &str> {
    let words = text.split(|c: char| !c.is_ascii_alphanumeric());
    words.filter(|word| {
        let digits = word.strip_prefix('F').unwrap_or_default();
        digits.len() == 4 && digits.bytes().all(|byte| byte.is_ascii_digit())
    })
}

#[test]
fn verify_pages_name_only_known_events() {
    let catalogue = fs::read_to_string(root().join("docs/EVENTS.md")).unwrap();
    let known: Vec<&str> = event_numbers(&catalogue).collect();
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        for number in event_numbers(&text) {
            assert!(known.contains(&number), "{}: {number}", page.display());
        }
    }
}

#[test]
fn verify_every_event_is_recorded_somewhere() {
    let mut sources = files(&root().join("crates"), "rs");
    sources.extend(files(&root().join("platform"), "rs"));
    sources.retain(|path| path.components().any(|part| part.as_os_str() == "src"));
    let texts = sources.iter().map(|path| fs::read_to_string(path).unwrap());
    let text: String = texts.collect();
    for code in EventCode::ALL {
        let name = format!("EventCode::{code:?}");
        assert!(text.contains(&name), "no source file records {code}");
    }
}
