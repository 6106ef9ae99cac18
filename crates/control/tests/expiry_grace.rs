//! Tests of how long endpoints are kept whose entries may have expired in an outage of the store.

use control::ExpiryGrace;

/// How long an endpoint that leaves takes requests, in milliseconds.
const DRAIN_MS: u64 = 2_000;
const GRACE_MS: u64 = DRAIN_MS - 100;

/// When the last call of an outage begins, in milliseconds.
const LAST_FAILED_MS: u64 = 10_000;

/// The longest pause between two calls to the store, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 1_400;

fn after_outage() -> ExpiryGrace {
    let grace = ExpiryGrace::new(GRACE_MS);
    grace.record_unanswered(LAST_FAILED_MS - 500);
    grace.record_unanswered(LAST_FAILED_MS);
    grace
}

/// review/findings/mix-307: the time was counted from when the removal was received.
#[test]
fn an_endpoint_that_leaves_before_the_first_call_after_an_outage_is_not_kept_beyond_its_drain() {
    let grace = after_outage();
    for left_ms in (0..=LONGEST_PAUSE_MS).step_by(100) {
        let left_ms = LAST_FAILED_MS + left_ms;
        for received_ms in left_ms..=LAST_FAILED_MS + LONGEST_PAUSE_MS + 200 {
            let until_ms = grace.kept_until_ms(received_ms).unwrap_or(received_ms);
            assert!(
                until_ms < left_ms + DRAIN_MS,
                "left at {left_ms}, received at {received_ms}, kept until {until_ms}"
            );
        }
    }
}

#[test]
fn an_endpoint_whose_entry_expired_in_an_outage_is_kept_for_the_grace_period() {
    let grace = after_outage();
    let until_ms = Some(LAST_FAILED_MS + GRACE_MS);
    assert_eq!(grace.kept_until_ms(LAST_FAILED_MS + 20), until_ms);
    assert_eq!(grace.kept_until_ms(LAST_FAILED_MS + 1_000), until_ms);
}

#[test]
fn the_late_failure_of_an_earlier_call_does_not_shorten_the_grace_period() {
    let grace = after_outage();
    grace.record_unanswered(LAST_FAILED_MS - 9_000);
    let until_ms = Some(LAST_FAILED_MS + GRACE_MS);
    assert_eq!(grace.kept_until_ms(LAST_FAILED_MS + 20), until_ms);
}

#[test]
fn a_removal_without_an_outage_or_long_after_one_takes_effect_at_once() {
    assert_eq!(ExpiryGrace::new(GRACE_MS).kept_until_ms(20), None);
    let grace = after_outage();
    assert_eq!(grace.kept_until_ms(LAST_FAILED_MS + GRACE_MS), None);
}
