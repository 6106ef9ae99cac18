//! Tests of an instance that joins a large fleet.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_io::block_on;
use common::{Instance, MemoryStore, StoreConnection, eventually, slow_link};
use control::member_to_wire;
use kernel::Incarnation;
use member::Member;
use serde_json::json;
use wire::{Ack, Body, Envelope, Link, Ping};

const MEMBERS: usize = 300;

/// The rate of one connection over a link that loses packets.
const LOSSY_BYTES_PER_S: f64 = 55_000.0;

/// How long an instance may take to see the fleet: a small part of the time within which it must be in use.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Answers each probe with the member table of a large fleet.
fn start_peer_of_a_large_fleet() -> SocketAddr {
    let addr = common::free_addr();
    let listener = async_io::Async::<std::net::TcpListener>::bind(addr).unwrap();
    let mut members = Vec::new();
    for number in 0..MEMBERS {
        let name = format!("instance-in-some-zone-{number}");
        let port = 10_000 + number;
        members.push(
            Member::new(Incarnation::random(), &name, "some-availability-zone")
                .with_addresses(&format!("10.200.117.113:{port}"), &addr.to_string())
                .with_carry_addr(&format!("10.200.117.113:{}", port + MEMBERS)),
        );
    }
    std::thread::spawn(move || {
        block_on(async {
            while let Ok((stream, _)) = listener.accept().await {
                let mut link = Link::new(stream);
                let update = Ping {
                    members: members.iter().map(member_to_wire).collect(),
                    ..Ping::default()
                };
                let from = members[0].incarnation.as_u64();
                let ack = Body::Ack(Ack {
                    update: Some(update),
                });
                if link.receive().await.is_ok() {
                    // The joining instance may have given up.
                    drop(link.send(&Envelope::new(from, ack)).await);
                }
            }
        });
    });
    addr
}

/// Issue 43, the same cause elsewhere: a member table had 400 ms whatever its size.
#[test]
fn an_instance_joins_a_large_fleet_over_a_lossy_link() {
    let store = MemoryStore::default();
    store.write("config/main", json!({ "version": 1 }));
    let peer = slow_link::start_lossy(start_peer_of_a_large_fleet(), LOSSY_BYTES_PER_S);
    let began = Instant::now();
    let instance = Instance::start_with("joining", StoreConnection::to(&store), |settings| {
        settings.peers(&[peer]).gossip_interval_ms(400)
    });
    eventually("the instance sees the fleet", || {
        instance.handle.members().load().len() > MEMBERS
    });
    let elapsed = began.elapsed();
    assert!(elapsed < JOIN_TIMEOUT, "{elapsed:?}");
    instance.handle.shutdown();
}
