//! The rules.

use std::borrow::Cow;
use std::collections::{HashMap, HashSet};

use crate::config::{Config, Homes, Limits, Number, Route, Service, Workspace};
use crate::finding::{Code, Finding, Findings};
use crate::names::{Field, Names};

/// Smallest weight that has an effect, as routes keep weights in thousandths.
const MIN_WEIGHT: f64 = 0.001;

/// Lowest rate of a cold endpoint that permits a request in each second.
const MIN_COLD_PER_S: f64 = 1.0;

/// Longest value that is printed, in characters, as operators may have written any text.
const MAX_PRINTED_CHARS: usize = 64;

/// Returns the first `limit` findings in a configuration, in the order of the document, and counts the others.
pub fn findings(config: &Config, names: Names, limit: usize) -> Findings {
    let mut report = Report {
        names,
        limit,
        findings: Findings::default(),
    };
    check_routes(config, &mut report);
    check_services(config, &mut report);
    if let Some(limits) = &config.limits {
        check_limits(limits, &mut report);
    }
    let need_keys = config.requires_keys() && config.routes.iter().any(|route| !route.public);
    check_workspaces(&config.workspaces, need_keys, &mut report);
    report.findings
}

/// Cuts a value to the length that is printed.
pub fn shorten(text: &str) -> Cow<'_, str> {
    match text.char_indices().nth(MAX_PRINTED_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]).into(),
        None => text.into(),
    }
}

/// Returns a finding if a version is not above the one in force, so that instances may ignore it.
pub fn version_finding(in_force: &Config, new: &Config, names: Names) -> Option<Finding> {
    (new.version <= in_force.version).then(|| Finding {
        code: Code::VersionNotAbove,
        place: names(Field::Version).to_owned(),
        message: format!(
            "version {} is not above version {} in force; use {} or more",
            new.version,
            in_force.version,
            in_force.version.saturating_add(1)
        ),
    })
}

/// Findings up to a limit, and the names of fields in their messages.
struct Report {
    names: Names,
    limit: usize,
    findings: Findings,
}

impl Report {
    /// Adds a finding. Its place and message are formatted only if it is kept, as a large document may have
    /// very many.
    fn push(&mut self, code: Code, describe: impl FnOnce(Names) -> (String, String)) {
        if self.is_full() {
            self.findings.left_out += 1;
            return;
        }
        let (place, message) = describe(self.names);
        self.findings.kept.push(Finding {
            code,
            place,
            message,
        });
    }

    fn is_full(&self) -> bool {
        self.findings.kept.len() >= self.limit
    }

    fn entry(&self, section: Field, index: usize) -> String {
        format!("{}[{index}]", (self.names)(section))
    }

    /// Reports a number below the least valid one.
    fn check_least(&mut self, entry: &str, field: Field, value: Option<f64>, least: f64) {
        if let Some(value) = value.filter(|value| *value < least) {
            self.push(Code::NumberRange, |names| {
                let message = format!("{value} is out of range, expected {least} or more");
                (path(entry, names(field)), message)
            });
        }
    }

    /// Reports a number that cannot be read or is below 0.
    fn check_number(&mut self, entry: &str, field: Field, number: Option<&Number>) {
        match number {
            Some(Number::Unreadable(text)) => self.push(Code::FieldType, |names| {
                let message = format!("{} is no number and is ignored", shorten(text));
                (path(entry, names(field)), message)
            }),
            Some(Number::Readable(value)) => self.check_least(entry, field, Some(*value), 0.0),
            None => {}
        }
    }
}

/// Reports home regions that instances ignore.
fn check_homes(homes: Option<&Homes>, entry: &str, report: &mut Report) {
    match homes {
        Some(Homes::Regions(regions)) if regions.is_empty() => {
            report.push(Code::HomeEmpty, |names| {
                let message = "an empty list is ignored, so that requests run in all regions; name \
                               a region or remove the list";
                (path(entry, names(Field::Homes)), message.to_owned())
            });
        }
        Some(Homes::Unreadable(text)) => report.push(Code::FieldType, |names| {
            let message = format!(
                "{} is no list of names and is ignored, so that requests run in all regions",
                shorten(text)
            );
            (path(entry, names(Field::Homes)), message)
        }),
        Some(Homes::Regions(_)) | None => {}
    }
}

/// Returns the path of a field.
fn path(entry: &str, field: &str) -> String {
    format!("{entry}.{field}")
}

/// A listed service with the names of its engine's models.
struct Listed<'a> {
    service: &'a Service,
    models: HashSet<&'a str>,
}

impl Listed<'_> {
    fn new(service: &Service) -> Listed<'_> {
        let models = service.engine.iter().flat_map(|engine| &engine.models);
        Listed {
            service,
            models: models.map(|model| &*model.name).collect(),
        }
    }
}

fn check_routes(config: &Config, report: &mut Report) {
    let mut services: HashMap<&str, Listed<'_>> = HashMap::new();
    for service in &config.services {
        services.insert(&service.name, Listed::new(service));
    }
    let mut first_routes: HashMap<(&str, &str), &Route> = HashMap::new();
    for (index, route) in config.routes.iter().enumerate() {
        let entry = report.entry(Field::Routes, index);
        check_prefix(route, &entry, report);
        check_route_services(route, &services, &entry, report);
        check_route_numbers(route, &entry, report);
        check_streaming(route, &entry, report);
        check_homes(route.homes.as_ref(), &entry, report);
        // A shorter prefix hides no longer one, as the longest matching prefix is chosen.
        let key = (&*route.host, &*route.prefix);
        let Some(first) = first_routes.get(&key) else {
            first_routes.insert(key, route);
            continue;
        };
        report.push(Code::RouteUnreachable, |_| {
            let message = format!(
                "route '{}' gets no request, as route '{}' before it has the same host and prefix; \
                 remove one of them or change its prefix",
                shorten(&route.name),
                shorten(&first.name)
            );
            (entry, message)
        });
    }
}

fn check_prefix(route: &Route, entry: &str, report: &mut Report) {
    if route.prefix.starts_with('/') && route.prefix.ends_with('/') {
        return;
    }
    report.push(Code::PrefixSlash, |names| {
        let message = format!(
            "prefix \"{}\" does not begin and end with a slash",
            shorten(&route.prefix)
        );
        (path(entry, names(Field::Prefix)), message)
    });
}

fn check_route_services(
    route: &Route,
    services: &HashMap<&str, Listed<'_>>,
    entry: &str,
    report: &mut Report,
) {
    let route_name = shorten(&route.name);
    if route.splits.is_empty() {
        report.push(Code::RouteNoService, |_| {
            let message = format!("route '{route_name}' has no service; name one");
            (entry.to_owned(), message)
        });
        return;
    }
    let has_traffic = route.splits.iter().any(|split| split.weight >= MIN_WEIGHT);
    if !has_traffic {
        report.push(Code::SplitAllZero, |names| {
            let message = format!(
                "no service of route '{route_name}' has a weight above 0, so its requests are \
                 refused; give one a weight"
            );
            (path(entry, names(Field::Split)), message)
        });
    }
    let mut size_counts: HashMap<&str, usize> = HashMap::new();
    for size in &route.model_sizes {
        *size_counts.entry(size).or_default() += 1;
    }
    let mut checked: HashSet<&str> = HashSet::new();
    for (index, split) in route.splits.iter().enumerate() {
        let part = match route.is_split {
            true => format!("{}[{index}]", path(entry, (report.names)(Field::Split))),
            false => entry.to_owned(),
        };
        report.check_least(&part, Field::Weight, Some(split.weight), 0.0);
        if has_traffic && (0.0..MIN_WEIGHT).contains(&split.weight) {
            report.push(Code::SplitZero, |names| {
                let message = format!(
                    "service '{}' gets no request of route '{route_name}' with weight {}; remove \
                     it or give it a weight of {MIN_WEIGHT} or more",
                    shorten(&split.service),
                    split.weight
                );
                (path(&part, names(Field::Weight)), message)
            });
        }
        let Some(listed) = services.get(&*split.service) else {
            report.push(Code::ServiceUnknown, |names| {
                let message = format!(
                    "service '{}' is not listed; declare it",
                    shorten(&split.service)
                );
                (path(&part, names(Field::Service)), message)
            });
            continue;
        };
        // An engine is optional, so that no list of models says nothing about the sizes.
        let lists_models = !listed.models.is_empty();
        if split.weight >= MIN_WEIGHT && lists_models && checked.insert(&split.service) {
            check_sizes(route, &size_counts, listed, entry, report);
        }
    }
}

/// Reports the sizes of a route that the engine of a service does not list. They are counted first, over the
/// shorter list, so that only services for which a finding is kept take time in proportion to the sizes.
fn check_sizes(
    route: &Route,
    size_counts: &HashMap<&str, usize>,
    listed: &Listed<'_>,
    entry: &str,
    report: &mut Report,
) {
    let models = &listed.models;
    let known: usize = if models.len() < size_counts.len() {
        let counts = models.iter().map(|model| size_counts.get(model));
        counts.flatten().sum()
    } else {
        let known = size_counts
            .iter()
            .filter(|(size, _)| models.contains(*size));
        known.map(|(_, count)| count).sum()
    };
    let mut unknown = route.model_sizes.len() - known;
    for (index, size) in route.model_sizes.iter().enumerate() {
        if unknown == 0 || report.is_full() {
            break;
        }
        if models.contains(&**size) {
            continue;
        }
        unknown -= 1;
        report.push(Code::SizeUnknown, |names| {
            let message = format!(
                "the engine of service '{}' does not list model '{}'; list the model there or \
                 remove it from the route",
                shorten(&listed.service.name),
                shorten(size)
            );
            let place = format!("{}[{index}]", path(entry, names(Field::Sizes)));
            (place, message)
        });
    }
    report.findings.left_out += unknown;
}

fn check_route_numbers(route: &Route, entry: &str, report: &mut Report) {
    report.check_least(entry, Field::Timeout, route.timeout_ms, 1.0);
    report.check_least(entry, Field::Objective, route.objective_ms, 0.0);
    report.check_least(entry, Field::MaxGap, route.max_gap_ms, 1.0);
    let attempts = route.max_attempts.map(f64::from);
    report.check_least(entry, Field::MaxAttempts, attempts, 1.0);
    let Some(timeout_ms) = route.timeout_ms else {
        return;
    };
    let timeout = (report.names)(Field::Timeout);
    if let Some(gap_ms) = route.max_gap_ms.filter(|gap_ms| *gap_ms > timeout_ms) {
        report.push(Code::GapAboveTimeout, |names| {
            let message = format!(
                "a gap of {gap_ms} ms is never reached within {timeout} {timeout_ms}; lower the \
                 gap or raise the timeout"
            );
            (path(entry, names(Field::MaxGap)), message)
        });
    }
    let Some(objective_ms) = route.objective_ms else {
        return;
    };
    if objective_ms > timeout_ms {
        report.push(Code::ObjectiveAboveTimeout, |names| {
            let message = format!(
                "an objective of {objective_ms} ms is above {timeout} {timeout_ms}; lower the \
                 objective or raise the timeout"
            );
            (path(entry, names(Field::Objective)), message)
        });
        return;
    }
    // Requests that may not be repeated usually run once, whatever the limit on attempts.
    let attempts = attempts.filter(|attempts| *attempts > 1.0 && route.may_retry);
    if let Some(attempts) = attempts.filter(|attempts| attempts * objective_ms > timeout_ms) {
        report.push(Code::AttemptsAboveTimeout, |names| {
            let message = format!(
                "{attempts} attempts of {} {objective_ms} take {} ms, but {timeout} is \
                 {timeout_ms}, so that the last ones get less than the objective; lower the \
                 attempts or the objective, or raise the timeout",
                names(Field::Objective),
                attempts * objective_ms
            );
            (path(entry, names(Field::MaxAttempts)), message)
        });
    }
}

fn check_streaming(route: &Route, entry: &str, report: &mut Report) {
    if route.is_stream {
        return;
    }
    let fields = [
        (Field::Resumable, route.resumable),
        (Field::MaxGap, route.max_gap_ms.is_some()),
    ];
    for (field, is_set) in fields {
        if !is_set {
            continue;
        }
        report.push(Code::NotStreaming, |names| {
            let message = format!(
                "{} has no effect, as {} of route '{}' is \"{}\" and its responses are no \
                 streams; remove it or change the kind",
                names(field),
                names(Field::Kind),
                shorten(&route.name),
                shorten(&route.kind)
            );
            (path(entry, names(field)), message)
        });
    }
}

fn check_services(config: &Config, report: &mut Report) {
    let mut used: HashSet<&str> = HashSet::new();
    for route in &config.routes {
        used.extend(route.splits.iter().map(|split| &*split.service));
    }
    let mut seen: HashSet<&str> = HashSet::new();
    for (index, service) in config.services.iter().enumerate() {
        let entry = report.entry(Field::Services, index);
        let name = shorten(&service.name);
        if !seen.insert(&service.name) {
            report.push(Code::ServiceDuplicate, |_| {
                let message = format!(
                    "service '{name}' is listed more than once and the last one counts; remove \
                     the others"
                );
                (entry.clone(), message)
            });
        } else if !used.contains(&*service.name) {
            report.push(Code::ServiceUnused, |_| {
                let message =
                    format!("no route leads to service '{name}'; add a route or remove it");
                (entry.clone(), message)
            });
        }
        check_cold(service, &entry, report);
        check_engine(service, &entry, report);
    }
}

fn check_cold(service: &Service, entry: &str, report: &mut Report) {
    report.check_number(entry, Field::ColdStart, service.cold_start_s.as_ref());
    report.check_number(entry, Field::ColdRate, service.cold_per_s.as_ref());
    let declared_start_s = service.cold_start_s.as_ref().and_then(Number::value);
    let per_s = service.cold_per_s.as_ref().and_then(Number::value);
    let is_unreadable =
        |number: Option<&Number>| number.is_some_and(|number| number.value().is_none());
    if is_unreadable(service.cold_start_s.as_ref()) || is_unreadable(service.cold_per_s.as_ref()) {
        return;
    }
    // A time of 0 declares that endpoints are never cold.
    let start_s = declared_start_s.filter(|start_s| *start_s > 0.0);
    let (set, missing) = match (start_s, per_s) {
        (Some(_), None) => (Field::ColdStart, Field::ColdRate),
        (None, Some(_)) if declared_start_s.is_none() => (Field::ColdRate, Field::ColdStart),
        (Some(_), Some(per_s)) if (0.0..MIN_COLD_PER_S).contains(&per_s) => {
            report.push(Code::ColdRateLow, |names| {
                let message = if per_s > 0.0 {
                    format!(
                        "{per_s} requests a second is less than one, so that a cold endpoint may \
                         get none for seconds; use {MIN_COLD_PER_S} or more"
                    )
                } else {
                    format!(
                        "with a rate of 0, {} is ignored and cold endpoints are not limited; use \
                         {MIN_COLD_PER_S} or more, or remove both",
                        names(Field::ColdStart)
                    )
                };
                (path(entry, names(Field::ColdRate)), message)
            });
            return;
        }
        _ => return,
    };
    report.push(Code::ColdIncomplete, |names| {
        let message = format!(
            "{} has no effect without {}; set both or neither",
            names(set),
            names(missing)
        );
        (path(entry, names(set)), message)
    });
}

fn check_engine(service: &Service, entry: &str, report: &mut Report) {
    let connections = service.max_connections;
    report.check_least(
        entry,
        Field::MaxConnections,
        connections.map(f64::from),
        1.0,
    );
    let Some(engine) = &service.engine else {
        return;
    };
    let engine_entry = path(entry, (report.names)(Field::Engine));
    for (index, model) in engine.models.iter().enumerate() {
        if model.cost < 0.0 {
            let models = path(&engine_entry, (report.names)(Field::Models));
            let part = format!("{models}[{index}]");
            report.check_least(&part, Field::Cost, Some(model.cost), 0.0);
        }
    }
    if let Some(connections) = connections.filter(|connections| engine.slots > *connections) {
        report.push(Code::SlotsAboveConnections, |names| {
            let message = format!(
                "{} slots are more than {} {connections}, so that some stay idle; raise the \
                 connections or lower the slots",
                engine.slots,
                names(Field::MaxConnections)
            );
            (path(&engine_entry, names(Field::Slots)), message)
        });
    }
}

fn check_limits(limits: &Limits, report: &mut Report) {
    let entry = (report.names)(Field::Limits);
    for (field, value) in [
        (Field::MaxHead, limits.max_head_bytes),
        (Field::ArrivalTimeout, limits.arrival_timeout_ms),
    ] {
        report.check_least(entry, field, Some(value as f64), 1.0);
    }
    let pairs = [
        (
            Code::HeadAboveBody,
            (Field::MaxHead, limits.max_head_bytes),
            (Field::MaxBody, limits.max_body_bytes),
        ),
        (
            Code::ArrivalAboveIdle,
            (Field::ArrivalTimeout, limits.arrival_timeout_ms),
            (Field::IdleTimeout, limits.idle_timeout_ms),
        ),
    ];
    for (code, (field, value), (upper_field, upper)) in pairs {
        if value <= upper {
            continue;
        }
        report.push(code, |names| {
            let upper_name = names(upper_field);
            let message =
                format!("{value} is above {upper_name} {upper}; lower it or raise the other");
            (path(entry, names(field)), message)
        });
    }
}

fn check_workspaces(workspaces: &[Workspace], need_keys: bool, report: &mut Report) {
    let mut seen: HashSet<&str> = HashSet::new();
    let mut owners: HashMap<&str, usize> = HashMap::new();
    for (index, workspace) in workspaces.iter().enumerate() {
        let entry = report.entry(Field::Workspaces, index);
        let name = shorten(&workspace.name);
        if !seen.insert(&workspace.name) {
            report.push(Code::WorkspaceDuplicate, |_| {
                let message = format!("workspace '{name}' is listed more than once; merge them");
                (entry.clone(), message)
            });
        }
        if need_keys && workspace.keys.is_empty() {
            report.push(Code::WorkspaceNoKeys, |_| {
                let message = format!("no request belongs to workspace '{name}'; give it a key");
                (entry.clone(), message)
            });
        }
        check_homes(workspace.homes.as_ref(), &entry, report);
        for (key_index, key) in workspace.keys.iter().enumerate() {
            let owner = *owners.entry(key).or_insert(index);
            if owner == index {
                continue;
            }
            report.push(Code::KeyDuplicate, |names| {
                let message = format!(
                    "the key also belongs to workspace '{}' and the last one counts; remove it \
                     from one",
                    shorten(&workspaces[owner].name)
                );
                let place = format!("{}[{key_index}]", path(&entry, names(Field::Keys)));
                (place, message)
            });
        }
    }
}
