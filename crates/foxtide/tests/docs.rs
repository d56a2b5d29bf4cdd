//! The pages name every dependency, and their links lead somewhere.

use std::fs;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the pages below a directory, `target` and hidden ones left out.
fn pages(directory: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap();
        if path.is_dir() && name != "target" && !name.starts_with('.') {
            found.extend(pages(&path));
        } else if path.extension().is_some_and(|extension| extension == "md") {
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
    for page in pages(&root()) {
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
fn verify_every_dependency_is_justified() {
    let manifest = fs::read_to_string(root().join("Cargo.toml")).unwrap();
    let page = fs::read_to_string(root().join("docs/DEPENDENCIES.md")).unwrap();
    let section = manifest.split("[workspace.dependencies]").nth(1).unwrap();
    let section = section.split("\n[").next().unwrap();
    let names = section.lines().filter_map(|line| line.split_once(" = "));
    for (name, _) in names.filter(|(name, _)| !name.starts_with("foxtide")) {
        assert!(page.contains(&format!("`{name}`")), "{name} has no line");
    }
}
