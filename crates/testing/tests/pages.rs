//! The pages tell the truth: examples parse, and cells of the fault matrix name tests that exist.

use std::fs;
use std::path;

use lynxmast_state::policy::document;
use lynxmast_state::policy::section;
use lynxmastd::settings;

fn root() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn operators_pages() -> Vec<String> {
    let folder = fs::read_dir(root().join("docs/operators")).expect("operators' pages");
    let files = folder.filter_map(|file| fs::read_to_string(file.ok()?.path()).ok());
    files.collect()
}

/// Returns the code blocks of the operators' pages that begin with a mark.
fn blocks(mark: &str) -> Vec<String> {
    let start = format!("```toml {mark}\n");
    let pages = operators_pages();
    let blocks = pages.iter().flat_map(|page| page.split(&start).skip(1));
    blocks.filter_map(|rest| rest.split("```").next().map(str::to_owned)).collect()
}

#[test]
fn settings_examples_are_good() {
    let examples = blocks("settings");
    assert!(!examples.is_empty());
    for example in examples {
        assert!(settings::Settings::parse(&example).is_ok(), "{example}");
    }
}

#[test]
fn section_examples_are_good_alone_and_together() {
    let examples = blocks("section");
    assert!(examples.len() >= 2);
    let mut document = document::Document::default();
    for example in examples {
        let section = section::Section::parse(&example).expect("a good section");
        assert_eq!(document.name_conflicts(&section), []);
        document.sections.insert(section.team.clone(), section);
    }
}

/// Returns the text of all Rust files below a folder, with their names.
fn sources(folder: &path::Path, found: &mut String) {
    for entry in fs::read_dir(folder).expect("a folder").flatten() {
        let path = entry.path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            found.push_str(&fs::read_to_string(&path).unwrap_or_default());
        }
    }
}

#[test]
fn cells_of_the_fault_matrix_name_tests() {
    let matrix = fs::read_to_string(root().join("docs/FAULT-MATRIX.md")).expect("the matrix");
    let mut code = String::new();
    sources(&root().join("crates"), &mut code);
    sources(&root().join("platform"), &mut code);
    let quoted = matrix.split('`').skip(1).step_by(2).filter(|name| !name.contains('/'));
    let mut cells = 0;
    for name in quoted {
        let test = name.rsplit("::").next().unwrap_or(name);
        assert!(code.contains(&format!("fn {test}(")), "no test '{name}'");
        cells += 1;
    }
    assert!(cells > 20);
}
