//! Tables for people and JSON for scripts.

use serde_json::Value;
use trestlerack::request::Sample;
use trestlerack::version::ChangePlan;

/// Prints a value as JSON on one line.
pub fn print_json(value: &Value) {
    println!("{value}");
}

/// Prints what a plan would do.
pub fn print_plan(plan: &ChangePlan) {
    println!("scope {}, made from generation {}", plan.scope, plan.base_generation);
    if plan.effects.is_empty() {
        println!("nothing would change");
    }
    for effect in &plan.effects {
        println!("  {effect}");
    }
}

/// Prints what made a sample.
pub fn print_sample(sample: &Sample) {
    println!(
        "sample {}: {} tokens, score {}, {} attempts, driven by {}",
        sample.id, sample.tokens, sample.score, sample.attempts, sample.driver
    );
    for range in &sample.versions {
        println!(
            "  tokens {}..{}: version {} on {} ({}) in {}, dispatched by {}",
            range.from, range.to, range.version, range.engine, range.incarnation, range.zone, range.owner
        );
    }
}

/// Prints the named columns of a list of objects.
pub fn print_table(rows: &Value, columns: &[&str]) {
    let rows: Vec<Vec<String>> = rows
        .as_array()
        .into_iter()
        .flatten()
        .map(|row| columns.iter().map(|column| cell(&row[*column])).collect())
        .collect();
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells.chain([columns[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    print_row(columns.iter().map(|column| (*column).to_owned()), &widths);
    for row in rows {
        print_row(row.into_iter(), &widths);
    }
}

fn print_row(cells: impl Iterator<Item = String>, widths: &[usize]) {
    let padded: Vec<String> = cells.zip(widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
    println!("{}", padded.join("  ").trim_end());
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}
