//! Reports to peers on the versions being rolled out.

use std::sync::Arc;

use rollout::Phase;
use wire::VersionReport;

use crate::convert::evidence_to_wire;
use crate::state::Control;
use crate::tracker::RolloutTracker;

/// Returns this instance's own counts for each roll-out that has not ended.
pub(crate) fn local_reports(control: &Control) -> Vec<VersionReport> {
    let trackers = control.trackers.borrow();
    let mut reports = Vec::new();
    for (service, tracker) in &trackers.by_service {
        if matches!(tracker.phase, Phase::Done | Phase::Withdrawn) {
            continue;
        }
        reports.push(version_report(control, service, tracker));
    }
    reports
}

/// Returns this instance's counts on a service's target version and on its other versions.
fn version_report(
    control: &Control,
    service: &Arc<str>,
    tracker: &RolloutTracker,
) -> VersionReport {
    let target = &tracker.target;
    let on_version = control.version_counters.evidence(service, target);
    let on_other_versions = control.version_counters.evidence_excluding(service, target);
    let running = control.version_counters.running_excluding(service, target);
    VersionReport {
        service: service.to_string(),
        version: target.to_string(),
        on_version: evidence_to_wire(&on_version),
        on_other_versions: evidence_to_wire(&on_other_versions),
        running_on_other_versions: running.count,
        lost_if_ended: running.lost_if_ended(),
        has_moved: tracker.has_moved(control.now_ms()),
    }
}
