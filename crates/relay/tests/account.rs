//! The account of memory: bounds on what fits, and that nothing is held once all connections are gone.

use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use relay::{Holding, MemoryAccount, Origin, Purpose};

const BUDGET_BYTES: u64 = 1 << 20;

/// One step of a connection: it opens or closes, or holds other amounts.
#[derive(Debug, Clone)]
enum Step {
    Open {
        addr: u8,
        is_internal: bool,
    },
    Close {
        connection: usize,
    },
    Hold {
        connection: usize,
        purpose: usize,
        bytes: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4_u8, any::<bool>()).prop_map(|(addr, is_internal)| Step::Open { addr, is_internal }),
        (0..16_usize).prop_map(|connection| Step::Close { connection }),
        (0..16_usize, 0..4_usize, 0..BUDGET_BYTES / 2).prop_map(|(connection, purpose, bytes)| {
            Step::Hold {
                connection,
                purpose,
                bytes,
            }
        }),
    ]
}

fn open(account: &Rc<MemoryAccount>, addr: u8, origin: Origin) -> Holding {
    let addr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, addr));
    Holding::new(account.clone(), addr, origin)
}

fn hold_if_it_fits(holding: &Holding, purpose: Purpose, bytes: u64, now: Instant) {
    let more = bytes.saturating_sub(holding.get(purpose));
    if holding.missing_bytes(more, now) == 0 {
        holding.set(purpose, bytes);
    } else {
        holding.record_shortage(more, now);
    }
}

proptest! {
    /// Guards against memory that is not refunded, or refunded twice, on some order of events.
    #[test]
    fn the_account_is_the_sum_of_its_holdings(steps in prop::collection::vec(step(), 0..200)) {
        let account = Rc::new(MemoryAccount::new(BUDGET_BYTES, Rc::default()));
        let mut holdings: Vec<Holding> = Vec::new();
        let began = Instant::now();
        for (number, step) in steps.into_iter().enumerate() {
            let now = began + Duration::from_millis(number as u64 * 100);
            match step {
                Step::Open { addr, is_internal } => {
                    let origin = if is_internal { Origin::Internal } else { Origin::Callers };
                    holdings.push(open(&account, addr, origin));
                }
                Step::Close { connection } if connection < holdings.len() => {
                    holdings.swap_remove(connection);
                }
                Step::Hold { connection, purpose, bytes } if connection < holdings.len() => {
                    hold_if_it_fits(&holdings[connection], Purpose::ALL[purpose], bytes, now);
                }
                Step::Close { .. } | Step::Hold { .. } => {}
            }
            let held: u64 = holdings.iter().map(Holding::total_bytes).sum();
            let by_purpose: u64 = Purpose::ALL.iter().map(|purpose| account.purpose_bytes(*purpose)).sum();
            prop_assert_eq!(account.total_bytes(), held);
            prop_assert_eq!(by_purpose, held);
            prop_assert!(held <= BUDGET_BYTES);
        }
        holdings.clear();
        prop_assert_eq!(account.total_bytes(), 0);
        for purpose in Purpose::ALL {
            prop_assert_eq!(account.purpose_bytes(purpose), 0);
        }
    }
}

/// Guards against callers that take the memory of the requests of peers, and one address that takes that of others.
#[test]
fn callers_leave_memory_to_peers_and_an_address_to_others() {
    let account = Rc::new(MemoryAccount::new(BUDGET_BYTES, Rc::default()));
    let now = Instant::now();
    let greedy = open(&account, 1, Origin::Callers);
    let other = open(&account, 2, Origin::Callers);
    let peer = open(&account, 3, Origin::Internal);
    let eighth = BUDGET_BYTES / 8;
    assert_eq!(greedy.missing_bytes(6 * eighth, now), 0);
    assert_eq!(greedy.missing_bytes(6 * eighth + 1, now), 1);
    greedy.set(Purpose::Bodies, 6 * eighth);
    assert_eq!(other.missing_bytes(eighth, now), 0);
    other.set(Purpose::Bodies, eighth);
    assert_eq!(other.missing_bytes(1, now), 1);
    assert_eq!(peer.missing_bytes(eighth, now), 0);
    greedy.set(Purpose::Bodies, 5 * eighth - 1);
    other.record_shortage(1, now);
    let is_refused = |at| greedy.missing_bytes(1, at) > 0;
    assert!(is_refused(now) && is_refused(now + Duration::from_secs(1)));
    assert!(!is_refused(now + Duration::from_secs(3)));
}
