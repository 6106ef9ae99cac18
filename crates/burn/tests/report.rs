//! The report over known statements.

use burn::{Report, WorkspaceStatements, compare_arms, render_svg};
use catalog::Objective;
use expect_test::expect;
use kernel::{Incarnation, Priority};
use receipt::{Outcome, ReceiptDraft, ReceiptOutbox, RequestUsage, Statement};

const NOW_MS: u64 = 10_000_000_000;

fn work(total_ms: u64, cost_micros: u64, arm: Option<&str>) -> RequestUsage {
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

fn account(works: Vec<RequestUsage>) -> WorkspaceStatements {
    let mut ledger = ReceiptOutbox::new(Incarnation::from_u64(1));
    let mut receipts = Vec::new();
    for (index, work) in works.into_iter().enumerate() {
        let ended_ms = NOW_MS - 1_000 * (index as u64 % 100);
        receipts.push(ledger.add(ReceiptDraft {
            workspace: "w".into(),
            request: index.to_string().into(),
            ended_ms,
            usage: work,
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
        workspace: "w".into(),
        objective,
        statements: vec![statement],
    }
}

#[test]
fn burn_latency_and_cost_are_as_the_receipts_say() {
    let works = (0..100)
        .map(|index| work(if index < 20 { 3_000 } else { 300 }, 50, None))
        .collect();
    let report = Report::build(&[account(works)], NOW_MS);
    expect![[r#"
        workspace          class       requests   goal    spent     x5m    x30m     x1h     x6h first p95 total p95  cost/1000  unproven
        w                  default          100  90.0%   200.0%    2.00    2.00    2.00    2.00   <512 ms  <4096 ms     0.0500      0.0%

        workspace          version         requests         cost
        w                  v1                   100     0.005000
    "#]]
    .assert_eq(&report.to_string());
    let picture = render_svg(&report);
    assert!(
        picture.starts_with("<svg")
            && picture.contains("w / default")
            && picture.contains("200% spent")
    );
}

#[test]
fn an_arm_that_costs_more_shows_and_equal_arms_rarely_do() {
    let mut random = fastrand::Rng::with_seed(5);
    let mut clear = 0;
    for _ in 0..400 {
        let draw = |policy: &str, extra: u64, random: &mut fastrand::Rng| {
            let arm = format!("x/{policy}");
            work(
                200 + random.u64(..400),
                50 + random.u64(..50) + extra,
                Some(&arm),
            )
        };
        let mut works = Vec::new();
        for index in 0..300 {
            let policy = ["a", "b"][index % 2];
            works.push(draw(policy, 0, &mut random));
        }
        let rows = compare_arms(&[account(works)]);
        clear += usize::from(rows[1].cost_micros.is_significant());
    }
    // A 95% interval leaves zero out in one of twenty equal comparisons: 20 of 400, and 40 is over
    // four standard deviations more.
    assert!(
        (1..40).contains(&clear),
        "{clear} of 400 equal comparisons seem to differ"
    );
    let works = (0..600).map(|index| {
        work(
            300,
            50 + 20 * (index % 2) + index % 7,
            Some(["x/a", "x/b"][index as usize % 2]),
        )
    });
    let rows = compare_arms(&[account(works.collect())]);
    assert!(
        rows[1].cost_micros.is_significant() && rows[1].cost_micros.mean > 19.0,
        "{:?}",
        rows[1]
    );
}
