//! The commands of the tool.

use crate::api::NodeApi;
use crate::print::{print_json, print_plan, print_sample, print_table};
use crate::{CommandError, Exit};
use hyper::Method;
use pico_args::Arguments;
use serde_json::{Value, json};
use trestlerack::process::parse_settings;
use trestlerack::request::Sample;
use trestlerack::schema::DocumentError;
use trestlerack::trace::{regenerate_trace, replay_trace};
use trestlerack::version::{ChangePlan, parse_declaration};

/// Options that every command takes.
struct Options {
    node: Option<String>,
    key_file: Option<String>,
    json: bool,
}

/// Runs the command that the arguments name.
pub fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let options = Options {
        node: option(&mut arguments, "--node")?.or_else(|| std::env::var("TRESTLERACK_NODE").ok()),
        key_file: option(&mut arguments, "--key-file")?.or_else(|| std::env::var("TRESTLERACK_KEY_FILE").ok()),
        json: arguments.contains("--json"),
    };
    let command = arguments.subcommand().map_err(|error| usage(&error.to_string()))?;
    match command.as_deref() {
        Some("check") => check(arguments),
        Some("plan") => plan(&options, arguments),
        Some("confirm") => confirm(&options, arguments),
        Some("show") => show(&options, arguments),
        Some("drain") => drain(&options, arguments),
        Some("trace") => trace(&options, arguments),
        Some("replay") => replay(arguments),
        Some(other) => Err(usage(&format!("unknown command {other:?}"))),
        None => Err(usage("expected a command")),
    }
}

fn usage(message: &str) -> CommandError {
    CommandError::new(Exit::Usage, format!("{message}; see trestlerack --help"))
}

fn option(arguments: &mut Arguments, name: &'static str) -> Result<Option<String>, CommandError> {
    arguments.opt_value_from_str(name).map_err(|error| usage(&error.to_string()))
}

/// Returns the free arguments, between `min` and `max` of them.
fn words(arguments: Arguments, min: usize, max: usize) -> Result<Vec<String>, CommandError> {
    let words: Vec<String> = arguments.finish().into_iter().map(|word| word.to_string_lossy().into_owned()).collect();
    if let Some(unknown) = words.iter().find(|word| word.starts_with("--")) {
        return Err(usage(&format!("unknown option {unknown}")));
    }
    if !(min..=max).contains(&words.len()) {
        return Err(usage("wrong number of arguments"));
    }
    Ok(words)
}

fn read_file(file: &str) -> Result<String, CommandError> {
    std::fs::read_to_string(file)
        .map_err(|error| CommandError::new(Exit::Usage, format!("cannot read {file}: {error}")))
}

fn node_api(options: &Options) -> Result<NodeApi, CommandError> {
    let address = options.node.clone().ok_or_else(|| usage("expected --node ADDRESS"))?;
    let file = options.key_file.as_deref().ok_or_else(|| usage("expected --key-file FILE"))?;
    let key = read_file(file)?.trim().to_owned();
    Ok(NodeApi { address, key })
}

fn invalid(faults: &[DocumentError]) -> CommandError {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    CommandError::new(Exit::Invalid, format!("{} faults\n{}", faults.len(), lines.join("\n")))
}

fn check(mut arguments: Arguments) -> Result<(), CommandError> {
    let is_settings = arguments.contains("--settings");
    let words = words(arguments, 1, 1)?;
    let text = read_file(&words[0])?;
    if is_settings {
        parse_settings(&words[0], &text).map_err(|faults| invalid(&faults))?;
        println!("{}: the settings are well formed", words[0]);
        return Ok(());
    }
    let declaration = parse_declaration(&words[0], &text).map_err(|faults| invalid(&faults))?;
    println!(
        "{}: scope {} declares {} zones, {} backend servers, {} users, {} campaigns",
        words[0],
        declaration.scope,
        declaration.zones.len(),
        declaration.backends.len(),
        declaration.users.len(),
        declaration.campaigns.len()
    );
    Ok(())
}

fn plan(options: &Options, mut arguments: Arguments) -> Result<(), CommandError> {
    let out = option(&mut arguments, "--out")?;
    let words = words(arguments, 1, 1)?;
    let text = read_file(&words[0])?;
    parse_declaration(&words[0], &text).map_err(|faults| invalid(&faults))?;
    let body = json!({ "file": words[0], "text": text });
    let value = node_api(options)?.send(Method::POST, "/v1/plans", &body)?;
    if let Some(out) = out {
        std::fs::write(&out, value.to_string())
            .map_err(|error| CommandError::new(Exit::Usage, format!("cannot write {out}: {error}")))?;
    }
    if options.json {
        print_json(&value);
    } else {
        let plan: ChangePlan = decode(value)?;
        print_plan(&plan);
    }
    Ok(())
}

fn decode<T: serde::de::DeserializeOwned>(value: Value) -> Result<T, CommandError> {
    serde_json::from_value(value)
        .map_err(|error| CommandError::new(Exit::Refused, format!("the node's answer is not as expected: {error}")))
}

fn confirm(options: &Options, mut arguments: Arguments) -> Result<(), CommandError> {
    let plan_file = option(&mut arguments, "--plan")?.ok_or_else(|| usage("expected --plan PLAN"))?;
    let words = words(arguments, 1, 1)?;
    let text = read_file(&words[0])?;
    let plan: ChangePlan = serde_json::from_str(&read_file(&plan_file)?)
        .map_err(|error| CommandError::new(Exit::Usage, format!("{plan_file} is not a plan: {error}")))?;
    let body = json!({ "file": words[0], "text": text, "made_from": plan.base_generation, "digest": plan.digest });
    let value = node_api(options)?.send(Method::POST, "/v1/plans/confirm", &body)?;
    if options.json {
        print_json(&value);
    } else {
        println!("generation {} is in force on the node that was asked", value["generation"]);
    }
    Ok(())
}

/// Columns of what an entry node tells of room.
const ROOM_COLUMNS: [&str; 9] =
    ["service", "zones", "waiting", "places", "free", "wait_ms", "waiting_customers", "refused", "refused_customers"];

/// Columns of what an entry node tells of the servers that the requests of each route may use.
const PLACEMENT_COLUMNS: [&str; 10] =
    ["route", "customer", "service", "regions", "zones", "servers", "allowed", "eligible", "why", "waiting_jobs"];

/// Columns of the list of availability zones.
const ZONE_COLUMNS: [&str; 8] = ["zone", "region", "state", "servers", "slots", "remaining", "engines", "in_progress"];

/// Returns the path and the columns of what an entry node tells on its metrics address.
fn entry_list(name: &str) -> Option<(&'static str, &'static [&'static str])> {
    match name {
        "customers" => Some(("/v1/customers", &["name", "priority", "keys", "configuration"])),
        "suspects" => Some(("/v1/suspects", &["fingerprint", "standing", "left_s", "ended", "unexplained"])),
        "servers" => Some((
            "/v1/servers",
            &[
                "server",
                "service",
                "standing",
                "expected",
                "slowness",
                "failing",
                "told_by",
                "told_slowness",
                "told_age_ms",
            ],
        )),
        "placement" => Some(("/v1/placement", &PLACEMENT_COLUMNS)),
        "room" => Some(("/v1/room", &ROOM_COLUMNS)),
        "level" => Some(("/v1/level", &["source", "followers", "passes_on", "servers"])),
        "cold" => Some(("/v1/cold", &["engine", "service", "state", "cold_for_ms", "allotment", "sent_last_second"])),
        "memory" => Some(("/v1/memory", &["kind", "name", "used", "bound"])),
        "zones" => Some(("/v1/zones", &ZONE_COLUMNS)),
        "duties" => Some(("/v1/duties", &["duty", "holder", "fence", "is_held_here"])),
        _ => None,
    }
}

fn show(options: &Options, arguments: Arguments) -> Result<(), CommandError> {
    let words = words(arguments, 1, 2)?;
    if let (Some((path, columns)), None) = (entry_list(&words[0]), words.get(1)) {
        let address = options.node.clone().ok_or_else(|| usage("expected --node ADDRESS"))?;
        let value = NodeApi { address, key: String::new() }.send(Method::GET, path, &Value::Null)?;
        print_list(options, &value, columns);
        return Ok(());
    }
    let (path, columns): (String, &[&str]) = match (words[0].as_str(), words.get(1)) {
        ("nodes", None) => ("/v1/nodes".into(), &["name", "zone", "liveness", "generation", "in_progress", "spooled"]),
        ("backends", None) => {
            let columns = &["name", "kind", "zone", "service", "receives_work", "owner", "held_version"];
            ("/v1/backends".into(), columns)
        }
        ("campaigns", None) => {
            let columns = &["name", "user", "model", "places", "max_staleness_versions"];
            ("/v1/campaigns".into(), columns)
        }
        ("steps", Some(campaign)) => {
            let columns = &["step", "state", "consume_version", "groups"];
            (format!("/v1/campaigns/{campaign}/steps"), columns)
        }
        _ => {
            return Err(usage(
                "expected show nodes, backends, campaigns, steps CAMPAIGN, cold, customers, duties, level, memory, placement, suspects, servers, room or zones",
            ));
        }
    };
    let value = node_api(options)?.send(Method::GET, &path, &Value::Null)?;
    print_list(options, &value, columns);
    Ok(())
}

fn print_list(options: &Options, value: &Value, columns: &[&str]) {
    if options.json {
        print_json(value);
    } else {
        print_table(value, columns);
    }
}

fn drain(options: &Options, mut arguments: Arguments) -> Result<(), CommandError> {
    let method = if arguments.contains("--undo") { Method::DELETE } else { Method::POST };
    let words = words(arguments, 1, 1)?;
    let path = format!("/v1/backends/{}/drain", words[0]);
    let value = node_api(options)?.send(method, &path, &Value::Null)?;
    if options.json {
        print_json(&value);
    } else {
        println!("{} receives new work: {}", words[0], value["receives_work"]);
    }
    Ok(())
}

fn trace(options: &Options, arguments: Arguments) -> Result<(), CommandError> {
    let words = words(arguments, 1, 1)?;
    let parts: Vec<&str> = words[0].split('/').collect();
    let [campaign, step, group, index] = parts.as_slice() else {
        return Err(usage("expected a sample as campaign/step/group/index"));
    };
    let path = format!("/v1/campaigns/{campaign}/steps/{step}/groups/{group}/{index}");
    let value = node_api(options)?.send(Method::GET, &path, &Value::Null)?;
    if options.json {
        print_json(&value);
    } else {
        let sample: Sample = decode(value)?;
        print_sample(&sample);
    }
    Ok(())
}

fn replay(mut arguments: Arguments) -> Result<(), CommandError> {
    let restate = arguments.contains("--restate");
    let files = words(arguments, 1, usize::MAX)?;
    if restate {
        return files.iter().try_for_each(|file| restate_file(file));
    }
    let mut differing = 0;
    for file in &files {
        match replay_trace(&read_file(file)?) {
            Ok(report) => println!("{file}: {} decisions as recorded", report.decisions),
            Err(error) => {
                differing += 1;
                println!("{file}: {error}");
            }
        }
    }
    if differing > 0 {
        return Err(CommandError::new(Exit::Differs, format!("{differing} of {} traces differ", files.len())));
    }
    Ok(())
}

fn restate_file(file: &str) -> Result<(), CommandError> {
    let restated = regenerate_trace(&read_file(file)?)
        .map_err(|error| CommandError::new(Exit::Differs, format!("{file}: {error}")))?;
    std::fs::write(file, restated)
        .map_err(|error| CommandError::new(Exit::Usage, format!("cannot write {file}: {error}")))
}
