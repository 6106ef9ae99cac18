//! Differences between two versions of a configuration, with their effect on requests in progress.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use crate::config::{Config, Engine, Homes, Limits, Route, Service, Workspace};
use crate::names::{Field, Names};

/// What is printed for a value that the operator did not write.
const NOT_SET: &str = "not set";

/// What is printed for an empty list.
const EMPTY: &str = "none";

/// One difference.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The entry, for example `route 'gates'`.
    pub entry: String,
    /// Name of the field, or `None` if the whole entry was added or removed.
    pub field: Option<&'static str>,
    /// Value in force, or `None` if there was none.
    pub before: Option<String>,
    /// New value, or `None` if there is none any more.
    pub after: Option<String>,
    /// Effect on requests in progress and on new ones.
    pub effect: String,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.entry)?;
        if let Some(field) = self.field {
            write!(f, " {field}")?;
        }
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, ": {before} -> {after}"),
            (None, _) => write!(f, ": added"),
            (_, None) => write!(f, ": removed"),
        }
    }
}

/// Returns the differences of a configuration from the one in force.
pub fn changes(in_force: &Config, new: &Config, names: Names) -> Vec<Change> {
    let mut list = ChangeList {
        names,
        changes: Vec::new(),
    };
    list.compare_entries(
        "route",
        &by_name(&in_force.routes, |route| &route.name),
        &by_name(&new.routes, |route| &route.name),
        route_values,
        route_effect,
    );
    list.compare_entries(
        "service",
        &by_name(&in_force.services, |service| &service.name),
        &by_name(&new.services, |service| &service.name),
        service_values,
        service_effect,
    );
    list.compare_limits(in_force.limits.as_ref(), new.limits.as_ref());
    list.compare_workspaces(in_force, new);
    list.changes
}

/// How an entry or a field differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Added,
    Removed,
    Changed(Field),
}

type Values = Vec<(Field, String)>;

struct ChangeList {
    names: Names,
    changes: Vec<Change>,
}

impl ChangeList {
    fn push(&mut self, entry: &str, kind: Kind, before: &str, after: &str, effect: &str) {
        let field = match kind {
            Kind::Changed(field) => Some((self.names)(field)),
            Kind::Added | Kind::Removed => None,
        };
        self.changes.push(Change {
            entry: entry.to_owned(),
            field,
            before: (kind != Kind::Added).then(|| before.to_owned()),
            after: (kind != Kind::Removed).then(|| after.to_owned()),
            effect: effect.to_owned(),
        });
    }

    fn compare_entries<T>(
        &mut self,
        noun: &str,
        before: &Entries<'_, T>,
        after: &Entries<'_, T>,
        values: fn(&T) -> Values,
        effect: fn(Kind) -> &'static str,
    ) {
        for (key, old) in before {
            let entry = format!("{noun} '{}'", key.0);
            let Some(new) = after.get(key) else {
                self.push(&entry, Kind::Removed, "listed", "", effect(Kind::Removed));
                continue;
            };
            for ((field, before), (_, after)) in values(old).into_iter().zip(values(new)) {
                if before == after {
                    continue;
                }
                let kind = Kind::Changed(field);
                self.push(&entry, kind, &before, &after, effect(kind));
            }
        }
        for key in after.keys() {
            if before.contains_key(key) {
                continue;
            }
            let entry = format!("{noun} '{}'", key.0);
            self.push(&entry, Kind::Added, "", "listed", effect(Kind::Added));
        }
    }

    fn compare_limits(&mut self, in_force: Option<&Limits>, new: Option<&Limits>) {
        let entry = (self.names)(Field::Limits);
        for ((field, before), (_, after)) in
            limit_values(in_force).into_iter().zip(limit_values(new))
        {
            if before != after {
                let effect = limit_effect(field, in_force, new);
                self.push(entry, Kind::Changed(field), &before, &after, effect);
            }
        }
    }

    fn compare_workspaces(&mut self, in_force: &Config, new: &Config) {
        let effect = match (in_force.requires_keys(), new.requires_keys()) {
            (false, true) => {
                "new requests without a valid key are refused with 401, except on public routes; \
                 requests in progress complete"
            }
            (true, false) => "keys are no longer required: every caller is served",
            _ => "",
        };
        if !effect.is_empty() {
            let entry = (self.names)(Field::Workspaces);
            let describe = |config: &Config| match config.workspaces.len() {
                0 => EMPTY.to_owned(),
                count => format!("{count} listed"),
            };
            let (before, after) = (describe(in_force), describe(new));
            // The section is no field of an entry, and its name says enough.
            self.changes.push(Change {
                entry: entry.to_owned(),
                field: None,
                before: Some(before),
                after: Some(after),
                effect: effect.to_owned(),
            });
        }
        let before = by_name(&in_force.workspaces, |workspace| &workspace.name);
        let after = by_name(&new.workspaces, |workspace| &workspace.name);
        self.compare_entries(
            "workspace",
            &before,
            &after,
            workspace_values,
            |kind| match kind {
                Kind::Changed(_) => "applies to requests that arrive after the change",
                Kind::Added | Kind::Removed => {
                    "requests in progress complete; for new ones see its keys"
                }
            },
        );
        self.compare_keys(&in_force.workspaces, &new.workspaces, new.requires_keys());
    }

    /// Compares keys without printing them, as they are secret: each is named by its place in the
    /// version that has it.
    fn compare_keys(&mut self, before: &[Workspace], after: &[Workspace], need_keys: bool) {
        let old_keys = key_places(before);
        let new_keys = key_places(after);
        let name = (self.names)(Field::Keys);
        for (key, (workspace, index)) in &old_keys {
            let entry = format!("key {name}[{index}] in force of workspace '{workspace}'");
            let Some((owner, _)) = new_keys.get(key) else {
                let effect = match need_keys {
                    true => {
                        "new requests with it are refused with 401, except on public routes; \
                         requests in progress complete"
                    }
                    false => "new requests need no key; requests in progress complete",
                };
                self.push(&entry, Kind::Removed, "listed", "", effect);
                continue;
            };
            if owner == workspace {
                continue;
            }
            let effect = format!(
                "new requests with it belong to workspace '{owner}'; requests in progress stay \
                 with '{workspace}'"
            );
            self.changes.push(Change {
                entry,
                field: None,
                before: Some(format!("workspace '{workspace}'")),
                after: Some(format!("workspace '{owner}'")),
                effect,
            });
        }
        for (key, (workspace, index)) in &new_keys {
            if old_keys.contains_key(key) {
                continue;
            }
            let entry = format!("key {name}[{index}] of workspace '{workspace}'");
            let effect = format!("new requests with it belong to workspace '{workspace}'");
            self.push(&entry, Kind::Added, "", "listed", &effect);
        }
    }
}

/// Entries by name, and by their number among those of the same name.
type Entries<'a, T> = BTreeMap<(&'a str, usize), &'a T>;

fn by_name<T>(entries: &[T], name: fn(&T) -> &String) -> Entries<'_, T> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    let mut found = BTreeMap::new();
    for entry in entries {
        let name = &**name(entry);
        let count = counts.entry(name).or_default();
        found.insert((name, *count), entry);
        *count += 1;
    }
    found
}

/// Maps each key to its workspace and its index there.
fn key_places(workspaces: &[Workspace]) -> BTreeMap<&str, (&str, usize)> {
    let mut places = BTreeMap::new();
    for workspace in workspaces {
        for (index, key) in workspace.keys.iter().enumerate() {
            places.insert(&**key, (&*workspace.name, index));
        }
    }
    places
}

fn optional<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| NOT_SET.to_owned(), |value| value.to_string())
}

/// Joins the entries of a list.
fn joined(entries: &[String]) -> String {
    match entries {
        [] => EMPTY.to_owned(),
        entries => entries.join(", "),
    }
}

fn home_regions(homes: Option<&Homes>) -> String {
    match homes {
        Some(Homes::Regions(regions)) => joined(regions),
        Some(Homes::Unreadable(text)) => text.clone(),
        None => NOT_SET.to_owned(),
    }
}

fn quoted(text: &str) -> String {
    format!("\"{text}\"")
}

fn route_values(route: &Route) -> Values {
    let services_field = match route.is_split {
        true => Field::Split,
        false => Field::Service,
    };
    let mut services = Vec::new();
    for split in &route.splits {
        services.push(match route.is_split {
            true => format!("{} with weight {}", split.service, split.weight),
            false => split.service.clone(),
        });
    }
    vec![
        (Field::Host, quoted(&route.host)),
        (Field::Prefix, quoted(&route.prefix)),
        (Field::Kind, quoted(&route.kind)),
        (Field::Timeout, optional(route.timeout_ms)),
        (Field::Objective, optional(route.objective_ms)),
        (Field::Priority, route.priority.to_string()),
        (Field::Sizes, joined(&route.model_sizes)),
        (services_field, joined(&services)),
        (Field::MaxAttempts, optional(route.max_attempts)),
        (Field::Public, route.public.to_string()),
        (Field::Affinity, route.prefix_affinity.to_string()),
        (Field::Resumable, route.resumable.to_string()),
        (Field::MaxGap, optional(route.max_gap_ms)),
        (Field::Homes, home_regions(route.homes.as_ref())),
    ]
}

fn route_effect(kind: Kind) -> &'static str {
    match kind {
        Kind::Added => "new requests that match it use it; requests in progress keep their route",
        Kind::Removed
        | Kind::Changed(Field::Host | Field::Prefix | Field::Service | Field::Split) => {
            "affects new requests only; requests in progress complete at the service that has them"
        }
        Kind::Changed(Field::Timeout) => {
            "applies to requests that arrive after the change; requests in progress keep the \
             timeout that they arrived with"
        }
        Kind::Changed(Field::Public) => {
            "decides whether new requests without a key are refused with 401; requests in progress \
             complete"
        }
        Kind::Changed(_) => {
            "applies to requests that arrive after the change; requests in progress keep the value \
             that they arrived with"
        }
    }
}

fn engine_values(engine: Option<&Engine>) -> Values {
    let mut models = Vec::new();
    for model in engine.iter().flat_map(|engine| &engine.models) {
        models.push(format!("{} with cost {}", model.name, model.cost));
    }
    vec![
        (Field::Slots, optional(engine.map(|engine| engine.slots))),
        (
            Field::KvCache,
            optional(engine.map(|engine| engine.kv_cache_tokens)),
        ),
        (Field::Models, joined(&models)),
    ]
}

fn service_values(service: &Service) -> Values {
    let mut values = vec![
        (Field::HealthPath, quoted(&service.health_path)),
        (Field::MaxConnections, optional(service.max_connections)),
        (Field::ColdStart, optional(service.cold_start_s.as_ref())),
        (Field::ColdRate, optional(service.cold_per_s.as_ref())),
    ];
    values.extend(engine_values(service.engine.as_ref()));
    values
}

fn service_effect(kind: Kind) -> &'static str {
    match kind {
        Kind::Added => "no effect on requests in progress",
        Kind::Removed => "requests in progress complete at the endpoints that have them",
        Kind::Changed(_) => {
            "applies to what is sent to its endpoints after the change; requests in progress \
             complete where they run"
        }
    }
}

fn workspace_values(workspace: &Workspace) -> Values {
    vec![
        (Field::Priority, optional(workspace.priority)),
        (Field::Homes, home_regions(workspace.homes.as_ref())),
    ]
}

fn limit_values(limits: Option<&Limits>) -> Values {
    let value = |get: fn(&Limits) -> u64| optional(limits.map(get));
    vec![
        (Field::MaxHead, value(|limits| limits.max_head_bytes)),
        (Field::MaxBody, value(|limits| limits.max_body_bytes)),
        (
            Field::ArrivalTimeout,
            value(|limits| limits.arrival_timeout_ms),
        ),
        (Field::IdleTimeout, value(|limits| limits.idle_timeout_ms)),
    ]
}

fn limit_effect(field: Field, in_force: Option<&Limits>, new: Option<&Limits>) -> &'static str {
    if field != Field::IdleTimeout {
        return "applies to requests that arrive after the change; requests in progress keep the limit \
                that they arrived with";
    }
    match (in_force, new) {
        (Some(before), Some(after)) if after.idle_timeout_ms > before.idle_timeout_ms => {
            "also applies to connections that are idle; requests in progress complete"
        }
        (Some(_), Some(_)) => {
            "applies to each connection from its next idle period; requests in progress complete"
        }
        _ => {
            "a higher value also applies to connections that are idle, a lower one from their next \
             idle period; requests in progress complete"
        }
    }
}
