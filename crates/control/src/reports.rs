//! What this instance tells peers of the versions that are rolled out.

use std::sync::Arc;

use rollout::Phase;
use wire::VersionReport;

use crate::convert::evidence_to_wire;
use crate::state::Control;

/// Returns what this instance saw of the versions that are rolled out.
pub(crate) fn own(control: &Control) -> Vec<VersionReport> {
    let shifts = control.shifts.borrow();
    let mut reports = Vec::new();
    for (service, track) in &shifts.tracks {
        if matches!(track.phase, Phase::Done | Phase::Withdrawn) {
            continue;
        }
        reports.push(report(control, service, &track.target));
    }
    reports
}

/// Returns what this instance saw of one version.
fn report(control: &Control, service: &Arc<str>, target: &Arc<str>) -> VersionReport {
    let on_version = control.version_counters.evidence(service, target);
    let besides = control.version_counters.evidence_excluding(service, target);
    VersionReport {
        service: service.to_string(),
        version: target.to_string(),
        on_version: evidence_to_wire(&on_version),
        besides: evidence_to_wire(&besides),
        running_besides: control.version_counters.running_excluding(service, target),
    }
}
