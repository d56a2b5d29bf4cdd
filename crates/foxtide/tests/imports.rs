//! Checks that imports list one item per line and end with `//`, which makes
//! rustfmt keep this form. `.ci/imports && cargo fmt --all` produces it.

use std::fs;
use std::path::{
    Path,
    PathBuf, //
};

fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Returns the import statements with brace groups.
fn groups(text: &str) -> Vec<String> {
    let mut statements = Vec::new();
    let mut open: Option<String> = None;
    for line in text.lines() {
        let code = line.trim_start();
        let begins = ["use ", "pub use ", "pub(crate) use ", "pub(super) use "];
        if open.is_none() && begins.iter().any(|begin| code.starts_with(begin)) {
            open = Some(String::new());
        }
        let Some(statement) = &mut open else {
            continue;
        };
        statement.push_str(code);
        statement.push('\n');
        if code.ends_with(';') {
            statements.extend(open.take().filter(|text| text.contains('{')));
        }
    }
    statements
}

/// Returns whether each group of a statement ends with an item and `//`.
fn is_vertical(statement: &str) -> bool {
    let lines: Vec<&str> = statement.lines().collect();
    let mut ends = (0..lines.len()).filter(|place| lines[*place].contains('}'));
    ends.all(|place| place > 0 && lines[place - 1].ends_with("//"))
}

#[test]
fn verify_flat_and_vertical_groups_are_distinguished() {
    let flat = "use std::io::{Read, Write};\n";
    let vertical = "use std::io::{\n    Read,\n    Write, //\n};\n";
    assert_eq!(groups(flat).len(), 1);
    assert!(!is_vertical(&groups(flat)[0]));
    assert!(is_vertical(&groups(vertical)[0]));
    assert!(groups("use std::io;\n").is_empty());
}

#[test]
fn verify_imports_are_vertical() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut files = Vec::new();
    collect_sources(&crates, &mut files);
    assert!(files.len() > 100, "{} files found", files.len());
    for file in files {
        let text = fs::read_to_string(&file).unwrap();
        let flat = groups(&text).into_iter().find(|group| !is_vertical(group));
        let name = file.display();
        assert!(
            flat.is_none(),
            "{name}: run .ci/imports && cargo fmt --all: {flat:?}"
        );
    }
}
