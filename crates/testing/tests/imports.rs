//! The files of a crate import one another only in one direction.

use std::collections;
use std::fs;
use std::path;

use indexmap::IndexMap;

/// Sources of a crate by module path, such as `ingress::head`, without tests.
type Modules = IndexMap<String, String>;
/// Modules that each module names.
type Imports = IndexMap<String, collections::BTreeSet<String>>;

fn collect_modules(directory: &path::Path, prefix: &str, modules: &mut Modules) {
    for entry in fs::read_dir(directory).expect("a readable directory").flatten() {
        let path = entry.path();
        let name = path.file_stem().and_then(|name| name.to_str()).expect("a name in UTF-8");
        let module = if prefix.is_empty() { name.into() } else { format!("{prefix}::{name}") };
        if matches!(name, "tests" | "lib" | "main") {
            continue;
        } else if path.is_dir() {
            collect_modules(&path, &module, modules);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            modules.insert(module, fs::read_to_string(&path).expect("a readable file"));
        }
    }
}

/// Returns the module that a path such as `ingress::head::parse` leads into.
fn resolve(path: &str, modules: &Modules) -> Option<String> {
    let mut module = path;
    while !modules.contains_key(module) {
        module = module.rsplit_once("::")?.0;
    }
    Some(module.into())
}

/// Returns the modules that `source` names: by paths from the root of the crate, and its own submodules by
/// their names. Its parents don't count, as a submodule may implement a part of its parent's type.
fn imports(module: &str, source: &str, modules: &Modules) -> collections::BTreeSet<String> {
    let code: String = source.lines().filter(|line| !line.trim_start().starts_with("//")).collect();
    let is_path = |c: char| c.is_alphanumeric() || c == '_' || c == ':';
    let rooted = code.split("crate::").skip(1).filter_map(|rest| {
        resolve(rest.split(|c| !is_path(c)).next()?.trim_end_matches(':'), modules)
    });
    let submodules = modules.keys().filter(|submodule| {
        let name = submodule.strip_prefix(module).and_then(|rest| rest.strip_prefix("::"));
        name.is_some_and(|name| {
            code.split(|c| !is_path(c)).any(|p| p.starts_with(&format!("{name}::")))
        })
    });
    let named = rooted.chain(submodules.cloned());
    named.filter(|other| !format!("{module}::").starts_with(&format!("{other}::"))).collect()
}

/// Removes the modules that import none of those that are left, until there are none of these; what is
/// left is in a circle or imports one.
fn circles(mut imports: Imports) -> Imports {
    loop {
        let free: Vec<String> =
            imports.iter().filter(|(_, to)| to.is_empty()).map(|(from, _)| from.clone()).collect();
        if free.is_empty() {
            return imports;
        }
        imports.retain(|from, _| !free.contains(from));
        imports.values_mut().for_each(|to| to.retain(|module| !free.contains(module)));
    }
}

// Guards against files that can only be understood together.
#[test]
fn no_files_of_a_crate_import_one_another_in_a_circle() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let crates = fs::read_dir(root.join("crates")).expect("a readable directory").flatten();
    let crates = crates.map(|entry| entry.path()).chain([root.join("platform")]);
    let mut checked = 0;
    for directory in crates {
        let mut modules = Modules::new();
        collect_modules(&directory.join("src"), "", &mut modules);
        checked += modules.len();
        let import = |(module, source): (&String, &String)| {
            (module.clone(), imports(module, source, &modules))
        };
        let circles = circles(modules.iter().map(import).collect());
        assert!(circles.is_empty(), "{} has a circle: {circles:#?}", directory.display());
    }
    assert!(checked > 100, "{checked} files");
}

#[test]
fn a_circle_is_found() {
    let source = |path: &str| format!("use crate::{path};\n");
    let modules: Modules = [
        ("a".into(), source("b::B")),
        ("b".into(), "mod part;\nfn f() { part::g() }\n".into()),
        ("b::part".into(), source("b") + &source("a")),
        ("c".into(), source("a")),
    ]
    .into();
    let found =
        circles(modules.iter().map(|(m, s)| (m.clone(), imports(m, s, &modules))).collect());
    assert_eq!(found.keys().collect::<Vec<_>>(), ["a", "b", "b::part", "c"]);
}
