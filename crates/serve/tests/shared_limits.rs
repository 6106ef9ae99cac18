//! Which of several reports on an endpoint's rate limit counts.

use serve::{LimitEntry, SharedLimits};

const ENDPOINT: u64 = 7;

/// Returns the limit that would be reported, if the endpoint is known.
fn known(limits: &SharedLimits, now_ms: u64) -> Option<Option<f64>> {
    let recent = limits.recent(now_ms);
    recent.first().map(|entry| entry.limit_per_s)
}

fn entry(limit_per_s: Option<f64>, age_ms: u64) -> LimitEntry {
    LimitEntry {
        endpoint: ENDPOINT,
        limit_per_s,
        age_ms,
        hops: 0,
    }
}

#[test]
fn an_endpoint_that_never_named_a_limit_is_not_remembered() {
    let limits = SharedLimits::default();
    limits.observe(ENDPOINT, None, 1_000);
    assert_eq!(known(&limits, 1_000), None);
}

/// A report that was on its way while the limit ended seemed later than the end, and brought it
/// back.
#[test]
fn a_report_that_is_older_by_less_than_its_transit_does_not_undo_an_answer() {
    let limits = SharedLimits::default();
    limits.observe(ENDPOINT, Some(2.0), 1_000);
    limits.observe(ENDPOINT, None, 2_000);
    // Observed at 1,990 elsewhere, sent at once, received at 2,050.
    limits.merge(entry(Some(2.0), 0), 2_050);
    assert_eq!(known(&limits, 2_060), Some(None));
    limits.merge(entry(Some(3.0), 0), 2_200);
    assert_eq!(known(&limits, 2_200), Some(Some(3.0)));
}

#[test]
fn the_later_observation_counts_whoever_made_it() {
    let cases = [(500, Some(Some(2.0))), (50, Some(None))];
    for (age_ms, expected) in cases {
        let limits = SharedLimits::default();
        limits.observe(ENDPOINT, Some(2.0), 1_000);
        limits.merge(entry(None, age_ms), 1_400);
        assert_eq!(known(&limits, 1_400), expected, "age {age_ms}");
    }
}

#[test]
fn a_limit_is_kept_and_reported_for_minutes_and_then_forgotten() {
    let limits = SharedLimits::default();
    limits.observe(ENDPOINT, Some(2.0), 1_000);
    assert_eq!(known(&limits, 600_000), Some(Some(2.0)));
    assert_eq!(known(&limits, 601_000), None);
}

/// Issue 25: reports that passed an ended limit on to one another made it seem later each time, so that
/// it came back from instances that had not seen its end.
#[test]
fn a_limit_that_has_ended_does_not_live_on_in_reports_alone() {
    const REPORT_INTERVAL_MS: u64 = 60;
    const TRANSIT_MS: u64 = 90;
    const ENDED_MS: u64 = 10_000;
    const LAST_MS: u64 = 12_000;
    let instances: Vec<SharedLimits> = (0..3).map(|_| SharedLimits::default()).collect();
    for limits in &instances {
        limits.observe(ENDPOINT, Some(2.0), 0);
    }
    let mut now_ms = 0;
    while now_ms < LAST_MS {
        now_ms += REPORT_INTERVAL_MS;
        let reports: Vec<Vec<LimitEntry>> = instances
            .iter()
            .map(|limits| limits.recent(now_ms))
            .collect();
        for (receiver, limits) in instances.iter().enumerate() {
            for (sender, report) in reports.iter().enumerate() {
                if sender == receiver {
                    continue;
                }
                for entry in report.iter().filter(|entry| entry.may_be_passed_on()) {
                    limits.merge(*entry, now_ms + TRANSIT_MS);
                }
            }
        }
        // One instance sees the end of the limit, and only now and then.
        if now_ms >= ENDED_MS && now_ms % (5 * REPORT_INTERVAL_MS) == 0 {
            instances[0].observe(ENDPOINT, None, now_ms);
        }
    }
    for (number, limits) in instances.iter().enumerate() {
        assert_eq!(known(limits, LAST_MS), Some(None), "instance {number}");
    }
}
