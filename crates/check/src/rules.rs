//! The rules.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::config::{Config, Limits, Route, Service, Workspace};
use crate::finding::{Code, Finding};
use crate::names::{Field, Names};

/// Smallest weight that has an effect, as routes keep weights in thousandths.
const MIN_WEIGHT: f64 = 0.001;

/// Lowest rate of a cold endpoint that permits a request in each second.
const MIN_COLD_PER_S: f64 = 1.0;

/// Returns what is wrong with a configuration, in the order of the document.
pub fn findings(config: &Config, names: Names) -> Vec<Finding> {
    let mut report = Report {
        names,
        findings: Vec::new(),
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

struct Report {
    names: Names,
    findings: Vec<Finding>,
}

impl Report {
    fn push(&mut self, code: Code, place: String, message: String) {
        self.findings.push(Finding {
            code,
            place,
            message,
        });
    }

    fn entry(&self, section: Field, index: usize) -> String {
        format!("{}[{index}]", (self.names)(section))
    }

    fn field(&self, entry: &str, field: Field) -> String {
        format!("{entry}.{}", (self.names)(field))
    }

    /// Reports a number below the least valid one.
    fn check_least(&mut self, entry: &str, field: Field, value: Option<f64>, least: f64) {
        if let Some(value) = value.filter(|value| *value < least) {
            let message = format!("{value} is out of range, expected {least} or more");
            self.push(Code::NumberRange, self.field(entry, field), message);
        }
    }
}

fn check_routes(config: &Config, report: &mut Report) {
    let mut services: HashMap<&str, &Service> = HashMap::new();
    for service in &config.services {
        services.insert(&service.name, service);
    }
    let mut first_routes: HashMap<(&str, &str), &Route> = HashMap::new();
    for (index, route) in config.routes.iter().enumerate() {
        let entry = report.entry(Field::Routes, index);
        check_prefix(route, &entry, report);
        check_route_services(route, &services, &entry, report);
        check_route_numbers(route, &entry, report);
        check_streaming(route, &entry, report);
        // A shorter prefix hides no longer one, as the longest matching prefix is chosen.
        let key = (&*route.host, &*route.prefix);
        let Some(first) = first_routes.get(&key) else {
            first_routes.insert(key, route);
            continue;
        };
        let message = format!(
            "route '{}' gets no request, as route '{}' before it has the same host and prefix; \
             remove one of them or change its prefix",
            route.name, first.name
        );
        report.push(Code::RouteUnreachable, entry, message);
    }
}

fn check_prefix(route: &Route, entry: &str, report: &mut Report) {
    if route.prefix.starts_with('/') && route.prefix.ends_with('/') {
        return;
    }
    let message = format!(
        "prefix \"{}\" does not begin and end with a slash",
        route.prefix
    );
    let place = report.field(entry, Field::Prefix);
    report.push(Code::PrefixSlash, place, message);
}

fn check_route_services(
    route: &Route,
    services: &HashMap<&str, &Service>,
    entry: &str,
    report: &mut Report,
) {
    if route.splits.is_empty() {
        let message = format!("route '{}' leads to no service; name one", route.name);
        report.push(Code::RouteNoService, entry.to_owned(), message);
        return;
    }
    let has_traffic = route.splits.iter().any(|split| split.weight >= MIN_WEIGHT);
    if !has_traffic {
        let message = format!(
            "no service of route '{}' has a weight above 0, so its requests are refused; \
             give one a weight",
            route.name
        );
        let place = report.field(entry, Field::Split);
        report.push(Code::SplitAllZero, place, message);
    }
    for (index, split) in route.splits.iter().enumerate() {
        let part = match route.is_split {
            true => format!("{}[{index}]", report.field(entry, Field::Split)),
            false => entry.to_owned(),
        };
        report.check_least(&part, Field::Weight, Some(split.weight), 0.0);
        if has_traffic && (0.0..MIN_WEIGHT).contains(&split.weight) {
            let message = format!(
                "service '{}' gets no request of route '{}' with weight {}; remove it or give it \
                 a weight of {MIN_WEIGHT} or more",
                split.service, route.name, split.weight
            );
            let place = report.field(&part, Field::Weight);
            report.push(Code::SplitZero, place, message);
        }
        let place = report.field(&part, Field::Service);
        let Some(service) = services.get(&*split.service) else {
            let message = format!("service '{}' is not listed; declare it", split.service);
            report.push(Code::ServiceUnknown, place, message);
            continue;
        };
        if split.weight >= MIN_WEIGHT {
            check_sizes(route, service, entry, report);
        }
    }
}

fn check_sizes(route: &Route, service: &Service, entry: &str, report: &mut Report) {
    for (index, size) in route.model_sizes.iter().enumerate() {
        let mut engines = service.engine.iter();
        if engines.any(|engine| engine.models.iter().any(|model| model.name == *size)) {
            continue;
        }
        let message = format!(
            "service '{}' declares no engine with model '{size}'; declare the model there or \
             remove it from the route",
            service.name
        );
        let place = format!("{}[{index}]", report.field(entry, Field::Sizes));
        report.push(Code::SizeUnknown, place, message);
    }
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
        let message = format!(
            "a gap of {gap_ms} ms is never reached within {timeout} {timeout_ms}; lower the gap or \
             raise the timeout"
        );
        let place = report.field(entry, Field::MaxGap);
        report.push(Code::GapAboveTimeout, place, message);
    }
    let Some(objective_ms) = route.objective_ms else {
        return;
    };
    if objective_ms > timeout_ms {
        let message = format!(
            "an objective of {objective_ms} ms is above {timeout} {timeout_ms}; lower the \
             objective or raise the timeout"
        );
        let place = report.field(entry, Field::Objective);
        report.push(Code::ObjectiveAboveTimeout, place, message);
        return;
    }
    // Requests that may not be repeated usually run once, whatever the limit on attempts.
    let attempts = attempts.filter(|attempts| *attempts > 1.0 && route.may_retry);
    if let Some(attempts) = attempts.filter(|attempts| attempts * objective_ms > timeout_ms) {
        let objective = (report.names)(Field::Objective);
        let message = format!(
            "{attempts} attempts of {objective} {objective_ms} take {} ms, but {timeout} is \
             {timeout_ms}, so that the last ones get less than the objective; lower the attempts \
             or the objective, or raise the timeout",
            attempts * objective_ms
        );
        let place = report.field(entry, Field::MaxAttempts);
        report.push(Code::AttemptsAboveTimeout, place, message);
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
        let message = format!(
            "{} has no effect, as {} of route '{}' is \"{}\" and its responses are no streams; \
             remove it or change the kind",
            (report.names)(field),
            (report.names)(Field::Kind),
            route.name,
            route.kind
        );
        report.push(Code::NotStreaming, report.field(entry, field), message);
    }
}

fn check_services(config: &Config, report: &mut Report) {
    let mut used: BTreeSet<&str> = BTreeSet::new();
    for route in &config.routes {
        used.extend(route.splits.iter().map(|split| &*split.service));
    }
    let mut seen: BTreeSet<&str> = BTreeSet::new();
    for (index, service) in config.services.iter().enumerate() {
        let entry = report.entry(Field::Services, index);
        let name = &*service.name;
        if !seen.insert(name) {
            let message = format!(
                "service '{name}' is listed more than once and the last one counts; remove the others"
            );
            report.push(Code::ServiceDuplicate, entry.clone(), message);
        } else if !used.contains(name) {
            let message = format!("no route leads to service '{name}'; add a route or remove it");
            report.push(Code::ServiceUnused, entry.clone(), message);
        }
        check_cold(service, &entry, report);
        check_engine(service, &entry, report);
    }
}

fn check_cold(service: &Service, entry: &str, report: &mut Report) {
    report.check_least(entry, Field::ColdStart, service.cold_start_s, 0.0);
    report.check_least(entry, Field::ColdRate, service.cold_per_s, 0.0);
    // A time of 0 declares that endpoints are never cold.
    let start_s = service.cold_start_s.filter(|start_s| *start_s > 0.0);
    let (set, missing) = match (start_s, service.cold_per_s) {
        (Some(_), None) => (Field::ColdStart, Field::ColdRate),
        (None, Some(_)) if service.cold_start_s.is_none() => (Field::ColdRate, Field::ColdStart),
        (Some(_), Some(per_s)) if (0.0..MIN_COLD_PER_S).contains(&per_s) => {
            let message = format!(
                "{per_s} requests a second is less than one, so that a cold endpoint may get none \
                 for seconds; use {MIN_COLD_PER_S} or more"
            );
            let place = report.field(entry, Field::ColdRate);
            report.push(Code::ColdRateLow, place, message);
            return;
        }
        _ => return,
    };
    let message = format!(
        "{} has no effect without {}; set both or neither",
        (report.names)(set),
        (report.names)(missing)
    );
    report.push(Code::ColdIncomplete, report.field(entry, set), message);
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
    let engine_entry = report.field(entry, Field::Engine);
    for (index, model) in engine.models.iter().enumerate() {
        let part = format!("{}[{index}]", report.field(&engine_entry, Field::Models));
        report.check_least(&part, Field::Cost, Some(model.cost), 0.0);
    }
    if let Some(connections) = connections.filter(|connections| engine.slots > *connections) {
        let message = format!(
            "{} slots are more than {} {connections}, so that some stay idle; raise the connections \
             or lower the slots",
            engine.slots,
            (report.names)(Field::MaxConnections)
        );
        let place = report.field(&engine_entry, Field::Slots);
        report.push(Code::SlotsAboveConnections, place, message);
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
        let upper_name = (report.names)(upper_field);
        let message = format!("{value} is above {upper_name} {upper}; lower it or raise the other");
        report.push(code, report.field(entry, field), message);
    }
}

fn check_workspaces(workspaces: &[Workspace], need_keys: bool, report: &mut Report) {
    let mut names: BTreeSet<&str> = BTreeSet::new();
    let mut owners: BTreeMap<&str, usize> = BTreeMap::new();
    for (index, workspace) in workspaces.iter().enumerate() {
        let entry = report.entry(Field::Workspaces, index);
        let name = &workspace.name;
        if !names.insert(name) {
            let message = format!("workspace '{name}' is listed more than once; merge them");
            report.push(Code::WorkspaceDuplicate, entry.clone(), message);
        }
        if need_keys && workspace.keys.is_empty() {
            let message = format!("no request belongs to workspace '{name}'; give it a key");
            report.push(Code::WorkspaceNoKeys, entry.clone(), message);
        }
        for (key_index, key) in workspace.keys.iter().enumerate() {
            let owner = *owners.entry(key).or_insert(index);
            if owner == index {
                continue;
            }
            let message = format!(
                "the key also belongs to workspace '{}' and the last one counts; remove it from one",
                workspaces[owner].name
            );
            let place = format!("{}[{key_index}]", report.field(&entry, Field::Keys));
            report.push(Code::KeyDuplicate, place, message);
        }
    }
}
