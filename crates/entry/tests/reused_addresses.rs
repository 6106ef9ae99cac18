//! Addresses of ended instances at which instances of another fleet start.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Fleet, Load};
use trial::{Deployment, TrafficMix};

/// Longer than it takes to declare an instance dead and to look for it again.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Ends an instance and returns its address for peers, once the others hold it for dead.
fn free_peer_addr(fleet: &mut Fleet) -> SocketAddr {
    let mut ended = fleet.entries.remove(0);
    ended.kill();
    fleet.list();
    fleet.wait_converged();
    ended.peer_addr
}

#[test]
fn instances_of_two_fleets_do_not_become_members_of_each_other() {
    let mut old = Fleet::start(Deployment::Shrestha, 3, 1);
    let mut new = Fleet::start(Deployment::Authority, 2, 1);
    let addr = free_peer_addr(&mut old);
    new.add_at(addr);
    std::thread::sleep(SETTLE_TIME);
    new.wait_converged();
    old.wait_converged();
}

#[test]
fn a_fleet_bills_every_call_while_another_uses_an_address_of_its_former_instance() {
    let mut old = Fleet::start(Deployment::Shrestha, 3, 1);
    let mut new = Fleet::start(Deployment::Shrestha, 2, 1);
    let addr = free_peer_addr(&mut old);
    let load = Load {
        seed: 11,
        calls: 400,
        pause_ms: 8,
        mix: TrafficMix::default(),
    };
    let records = old.calls_during(load, |_| new.add_at(addr));
    let audit = old.audit(&records);
    assert!(audit.is_clean(), "{audit:#?}");
}
