//! Names that leave the process stand in the code of the folders under which docs/OUTER-NAMES.txt lists them.

use proc_macro2::{TokenStream, TokenTree};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use syn::meta::ParseNestedMeta;
use syn::visit::{self, Visit};
use syn::{Attribute, Fields, ItemEnum, ItemStruct, Lit, LitStr, Path as TypePath, Token};

/// The names that the code of one folder gives to the outside.
#[derive(Default)]
struct FolderNames(BTreeSet<String>);

impl FolderNames {
    /// Reads every Rust file under a folder.
    fn of_folder(folder: &Path) -> Self {
        let mut names = Self::default();
        let mut paths = vec![folder.to_owned()];
        while let Some(path) = paths.pop() {
            if path.is_dir() {
                paths.extend(path.read_dir().unwrap().map(|entry| entry.unwrap().path()));
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                names.read(&std::fs::read_to_string(&path).unwrap());
            }
        }
        names
    }

    fn of_source(source: &str) -> Self {
        let mut names = Self::default();
        names.read(source);
        names
    }

    fn read(&mut self, source: &str) {
        self.read_literals(source.parse().unwrap());
        self.visit_file(&syn::parse_file(source).unwrap());
    }

    /// Takes the texts of all string literals, also of those in macros and attributes, but not of comments.
    fn read_literals(&mut self, tokens: TokenStream) {
        let tokens: Vec<TokenTree> = tokens.into_iter().collect();
        for (at, token) in tokens.iter().enumerate() {
            match token {
                TokenTree::Group(group) => self.read_literals(group.stream()),
                TokenTree::Literal(literal) if !follows_doc(&tokens[..at]) => match Lit::new(literal.clone()) {
                    Lit::Str(text) => _ = self.0.insert(text.value()),
                    Lit::ByteStr(bytes) => _ = self.0.insert(String::from_utf8_lossy(&bytes.value()).into_owned()),
                    _ => {}
                },
                _ => {}
            }
        }
    }

    fn add_fields(&mut self, fields: &Fields, rule: Option<&str>) {
        for field in fields {
            let Some(name) = &field.ident else { continue };
            let words: Vec<String> = ident_text(name).split('_').map(str::to_owned).collect();
            self.add(&SerdeTerms::of(&field.attrs), &words, rule, "_");
        }
    }

    fn add(&mut self, terms: &SerdeTerms, words: &[String], rule: Option<&str>, joint: &str) {
        if terms.is_skipped {
            return;
        }
        let plain = || rule.map_or_else(|| words.join(joint), |rule| apply_rule(rule, words, joint));
        if terms.names.is_empty() {
            self.0.insert(plain());
        }
        self.0.extend(terms.names.iter().cloned());
    }
}

impl<'ast> Visit<'ast> for FolderNames {
    fn visit_item_struct(&mut self, item: &'ast ItemStruct) {
        if is_serde(&item.attrs) {
            self.add_fields(&item.fields, SerdeTerms::of(&item.attrs).rename_all.as_deref());
        }
        visit::visit_item_struct(self, item);
    }

    fn visit_item_enum(&mut self, item: &'ast ItemEnum) {
        if is_serde(&item.attrs) {
            let terms = SerdeTerms::of(&item.attrs);
            for variant in &item.variants {
                let own = SerdeTerms::of(&variant.attrs);
                self.add(&own, &capital_words(&ident_text(&variant.ident)), terms.rename_all.as_deref(), "");
                self.add_fields(&variant.fields, own.rename_all.as_deref().or(terms.rename_all_fields.as_deref()));
            }
        }
        visit::visit_item_enum(self, item);
    }
}

/// What `serde` attributes say of outer names.
#[derive(Default)]
struct SerdeTerms {
    names: Vec<String>,
    rename_all: Option<String>,
    rename_all_fields: Option<String>,
    is_skipped: bool,
}

impl SerdeTerms {
    fn of(attributes: &[Attribute]) -> Self {
        let mut terms = Self::default();
        for attribute in attributes.iter().filter(|attribute| attribute.path().is_ident("serde")) {
            attribute.parse_nested_meta(|meta| terms.read(&meta)).unwrap();
        }
        terms
    }

    fn read(&mut self, meta: &ParseNestedMeta<'_>) -> syn::Result<()> {
        if meta.path.is_ident("skip") {
            self.is_skipped = true;
        } else if meta.path.is_ident("rename") {
            // Names that differ by direction stand in parentheses.
            if meta.input.peek(Token![=]) {
                self.names.push(text_value(meta)?);
            } else {
                meta.parse_nested_meta(|inner| text_value(&inner).map(|name| self.names.push(name)))?;
            }
        } else if meta.path.is_ident("rename_all") {
            self.rename_all = Some(text_value(meta)?);
        } else if meta.path.is_ident("rename_all_fields") {
            self.rename_all_fields = Some(text_value(meta)?);
        } else if meta.input.peek(Token![=]) {
            meta.value()?.parse::<syn::Expr>()?;
        } else if meta.input.peek(syn::token::Paren) {
            meta.parse_nested_meta(|inner| text_value(&inner).map(drop))?;
        }
        Ok(())
    }
}

fn text_value(meta: &ParseNestedMeta<'_>) -> syn::Result<String> {
    Ok(meta.value()?.parse::<LitStr>()?.value())
}

fn is_serde(attributes: &[Attribute]) -> bool {
    let mut is_serde = false;
    for attribute in attributes.iter().filter(|attribute| attribute.path().is_ident("derive")) {
        let derives = attribute.parse_args_with(syn::punctuated::Punctuated::<TypePath, Token![,]>::parse_terminated);
        let names = derives.unwrap().into_iter().filter_map(|path| Some(path.segments.last()?.ident.to_string()));
        is_serde |= names.into_iter().any(|name| name == "Serialize" || name == "Deserialize");
    }
    is_serde
}

fn ident_text(ident: &syn::Ident) -> String {
    ident.to_string().trim_start_matches("r#").to_owned()
}

fn follows_doc(before: &[TokenTree]) -> bool {
    let [.., TokenTree::Ident(name), TokenTree::Punct(sign)] = before else { return false };
    name == "doc" && sign.as_char() == '='
}

fn capital_words(name: &str) -> Vec<String> {
    let mut words: Vec<String> = Vec::new();
    for letter in name.chars() {
        match words.last_mut() {
            Some(word) if !letter.is_uppercase() => word.push(letter),
            _ => words.push(letter.into()),
        }
    }
    words
}

/// Applies a rule of `rename_all` to the words of a name that `joint` joins in the code.
fn apply_rule(rule: &str, words: &[String], joint: &str) -> String {
    let low: Vec<String> = words.iter().map(|word| word.to_lowercase()).collect();
    let capital = |word: &String| word[..1].to_uppercase() + &word[1..];
    match rule {
        "lowercase" => low.join(joint),
        "UPPERCASE" => low.join(joint).to_uppercase(),
        "snake_case" => low.join("_"),
        "SCREAMING_SNAKE_CASE" => low.join("_").to_uppercase(),
        "kebab-case" => low.join("-"),
        "SCREAMING-KEBAB-CASE" => low.join("-").to_uppercase(),
        "PascalCase" => low.iter().map(capital).collect(),
        "camelCase" => low[..1].iter().cloned().chain(low[1..].iter().map(capital)).collect(),
        _ => panic!("rename_all = {rule:?} is not known here"),
    }
}

/// Returns the names of each section and folder of the list.
fn read_list(list: &str) -> BTreeMap<(String, String), Vec<String>> {
    let (mut section, mut folder) = (String::new(), String::new());
    let mut names: BTreeMap<(String, String), Vec<String>> = BTreeMap::new();
    for line in list.lines().filter(|line| !line.starts_with('#')) {
        if let Some(title) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
            (section, folder) = (title.to_owned(), String::new());
        } else if let Some(path) = line.strip_suffix(':').filter(|path| !path.starts_with(' ')) {
            folder = path.to_owned();
        } else if !line.trim().is_empty() {
            assert!(!section.is_empty() && !folder.is_empty(), "a line under no section or folder: {line}");
            let place = names.entry((section.clone(), folder.clone())).or_default();
            place.extend(line.split_whitespace().map(str::to_owned));
        }
    }
    names
}

/// Returns a line for each listed name that its folder lacks.
fn missing_names(list: &str, folders: &BTreeMap<String, FolderNames>) -> Vec<String> {
    let mut missing = Vec::new();
    for ((section, folder), names) in read_list(list) {
        let found = &folders[&folder].0;
        let absent = names.iter().filter(|name| !found.contains(*name));
        missing.extend(absent.map(|name| format!("[{section}] {folder}: {name}")));
    }
    missing
}

#[test]
fn the_code_keeps_every_outer_name() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let list = std::fs::read_to_string(root.join("docs/OUTER-NAMES.txt")).unwrap();
    let listed = read_list(&list);
    assert!(listed.len() > 20 && listed.values().all(|names| !names.is_empty()), "the list was not understood");
    let mut folders = BTreeMap::new();
    for (_, folder) in listed.into_keys() {
        folders.entry(folder).or_insert_with_key(|folder| FolderNames::of_folder(&root.join(folder)));
    }
    let missing = missing_names(&list, &folders);
    assert!(missing.is_empty(), "names that left the code:\n{}", missing.join("\n"));
}

/// A source with an outer name of each kind.
const SOURCE: &str = r##"
    /// drafted
    fn write() { logs::write(event::HELD, &[("why", &format!("{}: late", "too-late"))]); }
    #[derive(Clone, Serialize)]
    #[serde(rename_all = "kebab-case", tag = "sort")]
    enum WireState {
        NotReady,
        Held { until_ms: u64, r#type: u8 },
        #[serde(rename = "gone", rename_all = "camelCase")]
        Ended { at_ms: u64 },
    }
    fn inner() {
        #[derive(serde::Deserialize)]
        struct WireRow { #[serde(default, rename = "seq")] orders: u64, #[serde(skip)] local: u64, plain: u64 }
    }
    #[derive(Clone)]
    struct OwnState { private: u64 }
"##;

fn missing_in(source: &str, names: &str) -> Vec<String> {
    let folders = BTreeMap::from([("a/src".to_owned(), FolderNames::of_source(source))]);
    missing_names(&format!("# head\n\n[peers]\na/src:\n  {names}\n"), &folders)
}

#[test]
fn the_checker_knows_texts_and_names_of_serde() {
    let names = "why too-late sort not-ready held until_ms type gone atMs seq plain";
    assert_eq!(missing_in(SOURCE, names), Vec::<String>::new());
    let inner = "drafted NotReady r#type Ended ended at_ms orders local private late";
    let reported: Vec<String> = inner.split(' ').map(|name| format!("[peers] a/src: {name}")).collect();
    assert_eq!(missing_in(SOURCE, inner), reported, "names that stay inside are not taken for outer ones");
}

#[test]
fn the_checker_reports_a_name_that_was_taken_out() {
    for (from, to, name) in [
        ("\"too-late\"", "\"late\"", "too-late"),
        ("plain: u64", "simple: u64", "plain"),
        ("until_ms", "till_ms", "until_ms"),
        ("NotReady", "Unready", "not-ready"),
        ("rename = \"seq\"", "rename = \"count\"", "seq"),
        (", rename = \"seq\"", "", "seq"),
        ("rename_all = \"kebab-case\", ", "", "held"),
        ("derive(serde::Deserialize)", "derive(Clone)", "plain"),
    ] {
        assert!(SOURCE.contains(from));
        assert_eq!(missing_in(SOURCE, name), Vec::<String>::new());
        assert_eq!(missing_in(&SOURCE.replace(from, to), name), [format!("[peers] a/src: {name}")]);
    }
}

#[test]
fn the_checker_lets_a_field_be_renamed_that_keeps_its_outer_name() {
    let renamed = SOURCE.replace("plain: u64", "#[serde(rename = \"plain\")] simple: u64").replace("orders:", "count:");
    assert_eq!(missing_in(&renamed, "plain seq"), Vec::<String>::new());
    let renamed = SOURCE.replace("NotReady", "#[serde(rename = \"not-ready\")] Unready");
    assert_eq!(missing_in(&renamed, "not-ready"), Vec::<String>::new());
}

#[test]
fn the_checker_applies_each_rule_as_serde_does() {
    let of_variant = |rule| apply_rule(rule, &capital_words("NotReady"), "");
    let of_field = |rule| apply_rule(rule, &["not".into(), "ready".into()], "_");
    for (rule, variant, field) in [
        ("lowercase", "notready", "not_ready"),
        ("UPPERCASE", "NOTREADY", "NOT_READY"),
        ("snake_case", "not_ready", "not_ready"),
        ("SCREAMING_SNAKE_CASE", "NOT_READY", "NOT_READY"),
        ("kebab-case", "not-ready", "not-ready"),
        ("SCREAMING-KEBAB-CASE", "NOT-READY", "NOT-READY"),
        ("PascalCase", "NotReady", "NotReady"),
        ("camelCase", "notReady", "notReady"),
    ] {
        assert_eq!((of_variant(rule).as_str(), of_field(rule).as_str()), (variant, field), "{rule}");
    }
}
