//! What is learned of model sizes from confidences.

use policy::SizeEstimates;

/// Answers of a size, after an unsure one of a smaller size or as the first, and the share of all
/// requests that the size is then taken to answer well.
struct Case {
    name: &'static str,
    unsure_before: Option<usize>,
    size: usize,
    confidences: &'static [u8],
    range: std::ops::Range<f64>,
}

#[test]
fn shares_follow_the_confidences() {
    let cases = [
        Case {
            name: "always sure",
            unsure_before: None,
            size: 0,
            confidences: &[90],
            range: 0.95..1.01,
        },
        Case {
            name: "never sure",
            unsure_before: None,
            size: 0,
            confidences: &[10],
            range: -0.01..0.05,
        },
        Case {
            name: "sure of half of what the smallest leaves, which answers half",
            unsure_before: Some(0),
            size: 1,
            confidences: &[20, 70],
            range: 0.7..0.8,
        },
    ];
    for case in cases {
        let mut sizes = SizeEstimates::new(3);
        for confidence in case.confidences.iter().cycle().take(400) {
            sizes.record(case.unsure_before, case.size, *confidence);
        }
        let share = sizes.good_shares()[case.size];
        assert!(case.range.contains(&share), "{}: {share}", case.name);
    }
}

#[test]
fn sizes_that_no_path_uses_are_tried_on_a_bounded_share() {
    let mut sizes = SizeEstimates::new(3);
    assert_eq!(sizes.trial_size(0, 0.0, 0.1), Some(1));
    assert_eq!(sizes.trial_size(0, 0.0, 0.2), None);
    assert_eq!(sizes.trial_size(0, 0.5, 0.0), None, "engines are scarce");
    assert_eq!(sizes.trial_size(1, 0.0, 0.0), None, "nothing in between");
    for _ in 0..10 {
        sizes.record(Some(0), 1, 20);
    }
    assert_eq!(sizes.trial_size(0, 0.0, 0.004), Some(1));
    assert_eq!(sizes.trial_size(0, 0.0, 0.1), None);
    assert!(SizeEstimates::tries_smaller(1, 0.004));
    assert!(!SizeEstimates::tries_smaller(1, 0.1));
    assert!(!SizeEstimates::tries_smaller(0, 0.0));
}
