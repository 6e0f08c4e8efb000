//! Checks that the pages in docs/ match the code, and that traces replay.
//!
//! `UPDATE_PAGES=1 cargo test -p trestlerack --test pages` regenerates the tables.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use trestlerack::event::{ALL_EVENTS, Severity};
use trestlerack::process::{ENTRY_FIELDS, SETTINGS_FIELDS};
use trestlerack::schema::{FieldKind, FieldSpec, describe};
use trestlerack::version::DECLARATION_SECTIONS;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Compares the part of a page between its markers with the text generated from the code, or replaces it
/// if `UPDATE_PAGES` is set.
fn check_part(page: &str, part: &str, expected: &str) {
    let path = root().join("docs").join(page);
    let text = read(&path);
    let (begin, end) = (format!("<!-- {part} begin -->\n"), format!("<!-- {part} end -->"));
    let from = text.find(&begin).unwrap_or_else(|| panic!("{page} lacks {begin}")) + begin.len();
    let to = text.find(&end).unwrap_or_else(|| panic!("{page} lacks {end}"));
    if std::env::var_os("UPDATE_PAGES").is_some() {
        std::fs::write(&path, format!("{}{expected}{}", &text[..from], &text[to..])).unwrap();
        return;
    }
    assert_eq!(&text[from..to], expected, "{page}: run with UPDATE_PAGES=1");
}

fn field_table(fields: &[FieldSpec]) -> String {
    let mut table = "| key | value | default | meaning |\n| --- | --- | --- | --- |\n".to_owned();
    for field in fields {
        let default = match field.default {
            None => "required".to_owned(),
            Some("") => "none".to_owned(),
            Some(default) => format!("`{default}`"),
        };
        writeln!(table, "| `{}` | {} | {default} | {} |", field.name, describe(field.kind), field.meaning).unwrap();
    }
    table
}

#[test]
fn the_settings_page_matches_the_field_tables() {
    check_part("SETTINGS.md", "settings", &field_table(SETTINGS_FIELDS));
    check_part("SETTINGS.md", "entry", &field_table(ENTRY_FIELDS));
    let mut tables = field_table(DECLARATION_SECTIONS);
    for section in DECLARATION_SECTIONS {
        if let FieldKind::Records(fields) = section.kind {
            writeln!(tables, "\n### `{}`\n\n{}", section.name, field_table(fields).trim_end()).unwrap();
        }
    }
    check_part("SETTINGS.md", "declarations", &tables);
}

#[test]
fn the_events_page_lists_exactly_the_events_in_the_code() {
    let page = read(&root().join("docs/EVENTS.md"));
    let rows: BTreeSet<&str> = page.lines().filter(|line| line.starts_with("| TR")).collect();
    for event in ALL_EVENTS {
        let severity = match event.severity {
            Severity::Error => "error",
            Severity::Warn => "warn",
            Severity::Info => "info",
        };
        let begin = format!("| TR{:04} | {} | {severity} |", event.number, event.name);
        assert!(rows.iter().any(|row| row.starts_with(&begin)), "docs/EVENTS.md lacks a row that begins {begin}");
    }
    assert_eq!(rows.len(), ALL_EVENTS.len(), "docs/EVENTS.md lists an event that the code does not know");
}

#[test]
fn each_event_is_used_and_its_number_is_unique() {
    let sources: String = rust_files(&root().join("crates/trestlerackd/src")).iter().map(|path| read(path)).collect();
    let numbers: BTreeSet<u16> = ALL_EVENTS.iter().map(|event| event.number).collect();
    assert_eq!(numbers.len(), ALL_EVENTS.len());
    for event in ALL_EVENTS {
        let constant = event.name.to_uppercase().replace('-', "_");
        assert!(sources.contains(&format!("event::{constant}")), "nothing writes {constant}");
    }
}

fn rust_files(dir: &Path) -> Vec<PathBuf> {
    files(dir).into_iter().filter(|path| path.extension().is_some_and(|kind| kind == "rs")).collect()
}

fn files(dir: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(dir).unwrap().flatten() {
        let path = entry.path();
        match path.is_dir() {
            true => found.extend(files(&path)),
            false => found.push(path),
        }
    }
    found
}

fn pages() -> Vec<PathBuf> {
    let mut pages: Vec<PathBuf> = files(&root().join("docs"));
    pages.retain(|path| path.extension().is_some_and(|kind| kind == "md"));
    pages.extend([root().join("README.md"), root().join("CONTRIBUTING.md")]);
    pages
}

fn anchors(page: &str) -> BTreeSet<String> {
    let headings = page.lines().filter(|line| line.starts_with('#'));
    let slug = |heading: &str| -> String {
        let text = heading.trim_start_matches('#').trim().to_lowercase();
        let kept = text.chars().filter(|character| character.is_alphanumeric() || matches!(character, ' ' | '-'));
        kept.collect::<String>().replace(' ', "-")
    };
    headings.map(slug).collect()
}

/// Returns the targets of Markdown links to pages of the repository.
fn link_targets(text: &str) -> Vec<String> {
    let parts = text.split("](").skip(1);
    let link_targets = parts.filter_map(|part| part.split_once(')').map(|(target, _)| target.to_owned()));
    link_targets.filter(|target| !target.contains("://") && target.contains(".md")).collect()
}

#[test]
fn links_in_pages_and_doc_comments_resolve() {
    let mut sources = pages();
    for name in ["trestlerack", "trestlerackd", "trestlerack-cli", "trestlerack-standins"] {
        sources.extend(rust_files(&root().join("crates").join(name).join("src")));
    }
    let mut checked = 0;
    for source in sources {
        for target in link_targets(&read(&source)) {
            let (file, anchor) = target.split_once('#').unwrap_or((&target, ""));
            let path = source.parent().unwrap().join(file);
            assert!(path.exists(), "{}: {target} does not exist", source.display());
            let has_anchor = anchor.is_empty() || anchors(&read(&path)).contains(anchor);
            assert!(has_anchor, "{}: {target} has no such heading", source.display());
            checked += 1;
        }
    }
    assert!(checked > 20, "only {checked} links were found");
}

#[test]
fn traces_replay_with_the_expected_actions() {
    let traces = files(&Path::new(env!("CARGO_MANIFEST_DIR")).join("traces"));
    assert!(traces.len() >= 4, "{traces:?}");
    for path in traces {
        let report = trestlerack::trace::replay_trace(&read(&path));
        assert!(report.as_ref().is_ok_and(|report| report.decisions > 0), "{}: {report:?}", path.display());
    }
}

#[test]
fn a_trace_with_other_actions_is_rejected() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces/dead-engine-refuses.jsonl");
    let text = read(&path).replace("no-backend", "overloaded");
    assert!(trestlerack::trace::replay_trace(&text).is_err());
    assert!(trestlerack::trace::replay_trace("{}").is_err());
    assert!(trestlerack::trace::replay_trace("").is_err());
}
