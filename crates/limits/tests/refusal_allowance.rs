//! Which requests may be sent to an endpoint that ends by too many refusals.

use limits::{EndpointUse, RefusalAllowance};

#[test]
fn instances_together_send_no_more_than_an_endpoint_has_slots_once_it_is_half_full() {
    for (slots, instances) in [(6, 6), (6, 4), (4, 6), (128, 6), (64, 91)] {
        let mut in_parts = 0;
        for rank in 0..instances {
            let mut allowance = RefusalAllowance::new(5);
            for own_requests in 0.. {
                let place = EndpointUse {
                    rank,
                    instances,
                    own_requests,
                    load: f64::from(slots),
                    slots,
                };
                if !allowance.is_open(&place, 0) {
                    break;
                }
                in_parts += 1;
            }
        }
        assert_eq!(in_parts, slots, "{slots} slots, {instances} instances");
    }
}

#[test]
fn refusals_close_an_endpoint_for_a_second() {
    let place = EndpointUse {
        rank: 0,
        instances: 3,
        own_requests: 0,
        load: 0.0,
        slots: 6,
    };
    let mut allowance = RefusalAllowance::new(6);
    for now_ms in [100, 200, 300] {
        assert!(allowance.is_open(&place, now_ms));
        allowance.record_refusal(now_ms);
    }
    assert!(!allowance.is_open(&place, 400));
    assert!(allowance.is_open(&place, 1_100));
}
