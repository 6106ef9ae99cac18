//! The report over statements with known content.

use burn::{Report, WorkspaceStatements, compare_arms, render_svg};
use catalog::Objective;
use expect_test::expect;
use kernel::{Incarnation, Priority};
use receipt::{Outcome, ReceiptDraft, ReceiptOutbox, RequestUsage, Statement};

const NOW_MS: u64 = 10_000_000_000;

fn usage(total_ms: u64, cost_micros: u64, arm: Option<&str>) -> RequestUsage {
    RequestUsage {
        version: "v1".into(),
        class: "default".into(),
        priority: Priority::Normal,
        outcome: Outcome::Answered,
        prompt_tokens: 10,
        completion_tokens: 10,
        cost_micros,
        first_token_ms: total_ms / 10,
        total_ms,
        unproven: false,
        in_objective: total_ms <= 1_000,
        arm: arm.map(Into::into),
    }
}

fn workspace_statements(usages: Vec<RequestUsage>) -> WorkspaceStatements {
    let mut outbox = ReceiptOutbox::new(Incarnation::from_u64(1));
    let mut receipts = Vec::new();
    for (index, usage) in usages.into_iter().enumerate() {
        let ended_ms = NOW_MS - 1_000 * (index as u64 % 100);
        receipts.push(outbox.add(ReceiptDraft {
            workspace: "w".into(),
            request: index.to_string().into(),
            ended_ms,
            usage,
        }));
    }
    let mut statement = Statement::default();
    statement.apply(&receipts, NOW_MS);
    let objective = Objective {
        first_token_ms: 500,
        total_ms: 1_000,
        share: 0.9,
    };
    WorkspaceStatements {
        name: "w".into(),
        objective,
        statements: vec![statement],
    }
}

#[test]
fn report_matches_the_receipts() {
    let usages = (0..100)
        .map(|index| usage(if index < 20 { 3_000 } else { 300 }, 50, None))
        .collect();
    let report = Report::build(&[workspace_statements(usages)], NOW_MS);
    expect![[r#"
        workspace          class       requests   goal    spent     x5m    x30m     x1h     x6h first p95 total p95  cost/1000  unproven
        w                  default          100  90.0%   200.0%    2.00    2.00    2.00    2.00   <512 ms  <4096 ms     0.0500      0.0%

        workspace          version         requests         cost
        w                  v1                   100     0.005000
    "#]]
    .assert_eq(&report.to_string());
    let svg = render_svg(&report);
    assert!(svg.starts_with("<svg") && svg.contains("w / default") && svg.contains("200% spent"));
}

#[test]
fn costlier_arm_is_significant_and_equal_arms_rarely_are() {
    let mut random = fastrand::Rng::with_seed(5);
    let mut significant = 0;
    for _ in 0..400 {
        let draw = |policy: &str, extra: u64, random: &mut fastrand::Rng| {
            let arm = format!("x/{policy}");
            usage(
                200 + random.u64(..400),
                50 + random.u64(..50) + extra,
                Some(&arm),
            )
        };
        let mut usages = Vec::new();
        for index in 0..300 {
            let policy = ["a", "b"][index % 2];
            usages.push(draw(policy, 0, &mut random));
        }
        let rows = compare_arms(&[workspace_statements(usages)]);
        significant += usize::from(rows[1].cost_micros.is_significant());
    }
    // A 95% interval excludes zero in one of twenty comparisons of equal arms. That is 20 of 400, and
    // 40 is more than four standard deviations above.
    assert!(
        (1..40).contains(&significant),
        "{significant} of 400 comparisons of equal arms are significant"
    );
    let usages = (0..600).map(|index| {
        usage(
            300,
            50 + 20 * (index % 2) + index % 7,
            Some(["x/a", "x/b"][index as usize % 2]),
        )
    });
    let rows = compare_arms(&[workspace_statements(usages.collect())]);
    assert!(
        rows[1].cost_micros.is_significant() && rows[1].cost_micros.mean > 19.0,
        "{:?}",
        rows[1]
    );
}
