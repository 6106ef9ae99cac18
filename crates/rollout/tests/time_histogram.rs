//! Answer times are counted in buckets of a third of a doubling.

use rollout::{Evidence, TIME_BUCKETS, TimeHistogram};

#[test]
fn quantiles_are_within_a_third_of_a_doubling_of_the_times() {
    let cases = [
        ("none", vec![], 0.5, None),
        ("in the first bucket", vec![0.2], 0.5, Some(4.0)),
        ("one", vec![17.0], 0.5, Some(16.0)),
        (
            "the next bucket",
            vec![21.0],
            0.5,
            Some(20.158_736_798_317_97),
        ),
        ("the lower half", vec![4.0, 4.0, 64.0], 0.5, Some(4.0)),
        ("the upper tenth", vec![4.0, 4.0, 64.0], 0.9, Some(64.0)),
    ];
    for (name, times_ms, quantile, expected) in cases {
        let mut times = TimeHistogram::default();
        for time_ms in times_ms {
            times.record(time_ms);
        }
        assert_eq!(times.quantile(quantile), expected, "{name}");
    }
}

#[test]
fn times_beyond_the_last_bucket_are_counted_in_it() {
    let mut times = TimeHistogram::default();
    times.record(f64::from(u32::MAX));
    assert_eq!(times.counts[TIME_BUCKETS - 1], 1);
    assert_eq!(times.total(), 1);
}

#[test]
fn evidence_since_an_earlier_report_leaves_out_its_answers_and_times() {
    let mut earlier = Evidence::default();
    let counts = earlier.class_mut(&"orders".into());
    counts.answered = 3;
    counts.times.record(8.0);
    let mut later = earlier.clone();
    later.add(&earlier);
    later.class_mut(&"chats".into()).failed = 2;
    let mut expected = earlier.clone();
    expected.class_mut(&"chats".into()).failed = 2;
    assert_eq!(later.since(&earlier), expected);
}
