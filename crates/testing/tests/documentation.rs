//! Checks of the documentation: examples parse, and the fault matrix names existing tests.

use std::fs;
use std::path;

use lynxmast_state::policy::document;
use lynxmast_state::policy::section;
use lynxmastd::settings;

fn workspace_root() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn operator_docs() -> Vec<String> {
    let directory = fs::read_dir(workspace_root().join("docs/operators"))
        .expect("the operators' documentation exists");
    let files = directory.filter_map(|file| fs::read_to_string(file.ok()?.path()).ok());
    files.collect()
}

/// Returns the TOML code blocks of the operators' documentation whose first line, after `toml`,
/// holds the given marker.
fn code_blocks(marker: &str) -> Vec<String> {
    let start = format!("```toml {marker}\n");
    let pages = operator_docs();
    let code_blocks = pages.iter().flat_map(|page| page.split(&start).skip(1));
    code_blocks.filter_map(|rest| rest.split("```").next().map(str::to_owned)).collect()
}

#[test]
fn settings_examples_parse() {
    let examples = code_blocks("settings");
    assert!(!examples.is_empty());
    for example in examples {
        assert!(settings::Settings::parse(&example).is_ok(), "{example}");
    }
}

#[test]
fn section_examples_are_valid_alone_and_combined() {
    let examples = code_blocks("section");
    assert!(examples.len() >= 2);
    let mut document = document::Document::default();
    for example in examples {
        let section = section::Section::parse(&example).expect("a valid section");
        assert_eq!(document.name_conflicts(&section), []);
        document.sections.insert(section.team.clone(), section);
    }
}

/// Appends the contents of all Rust files below a directory to `sources`.
fn collect_sources(directory: &path::Path, sources: &mut String) {
    for entry in fs::read_dir(directory).expect("a readable directory").flatten() {
        let path = entry.path();
        if path.is_dir() {
            collect_sources(&path, sources);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            sources.push_str(&fs::read_to_string(&path).unwrap_or_default());
        }
    }
}

#[test]
fn fault_matrix_cells_name_existing_tests() {
    let matrix = fs::read_to_string(workspace_root().join("docs/FAULT-MATRIX.md"))
        .expect("the fault matrix exists");
    let mut code = String::new();
    collect_sources(&workspace_root().join("crates"), &mut code);
    collect_sources(&workspace_root().join("platform"), &mut code);
    let quoted = matrix.split('`').skip(1).step_by(2).filter(|name| !name.contains('/'));
    let mut checked = 0;
    for name in quoted {
        let test = name.rsplit("::").next().unwrap_or(name);
        assert!(code.contains(&format!("fn {test}(")), "no test '{name}'");
        checked += 1;
    }
    assert!(checked > 20);
}
