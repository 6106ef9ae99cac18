//! Several instances over the same endpoints.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use kernel::{Clock, Incarnation};
use member::Member;
use relay::Server;
use route::Route;
use serve::{CarryHandler, PeerReach};

use super::{Harness, Received, STARTED_MS};

/// Several instances, each with its own addresses of the endpoints.
pub struct Fleet {
    pub instances: Vec<Harness>,
    pub members: Vec<Member>,
    pub executor: Rc<LocalExecutor<'static>>,
}

impl Fleet {
    /// Creates an instance for each list of endpoint addresses.
    pub fn new(route: &Route, addresses: &[Vec<SocketAddr>]) -> Fleet {
        Fleet::with_floor(route, addresses, 1_000.0)
    }

    /// Creates an instance for each list of endpoint addresses, which lists a run of each, started at
    /// [`STARTED_MS`].
    pub fn with_runs(route: &Route, addresses: &[Vec<SocketAddr>]) -> Fleet {
        let fleet = Fleet::new(route, addresses);
        for (instance, addrs) in fleet.instances.iter().zip(addresses) {
            instance.list_starts(&vec![STARTED_MS; addrs.len()]);
        }
        fleet
    }

    /// Creates instances whose retry budget has this floor for all together.
    pub fn with_floor(route: &Route, addresses: &[Vec<SocketAddr>], floor: f64) -> Fleet {
        let instance = |addrs: &Vec<SocketAddr>| Harness::new(route.clone(), addrs, floor);
        let mut fleet = Fleet {
            instances: addresses.iter().map(instance).collect(),
            members: Vec::new(),
            executor: Rc::default(),
        };
        for index in 0..addresses.len() {
            fleet.start_carrying(index);
        }
        fleet.publish_members();
        fleet
    }

    /// Starts the listener of an instance for the requests that others hand over.
    fn start_carrying(&mut self, index: usize) {
        let handler = CarryHandler::new(self.instances[index].pipeline.clone());
        let any = "127.0.0.1:0".parse().unwrap();
        let server = Server::bind(any, Rc::new(handler), Rc::default()).unwrap();
        let addr = server.local_addr().unwrap().to_string();
        let member = Member::new(Incarnation::random(), &format!("i{index}"), "here");
        self.members.push(member.with_carry_addr(&addr));
        self.executor
            .spawn(server.run(self.executor.clone()))
            .detach();
        let probing = self.instances[index].pipeline.probe_endpoints();
        self.executor.spawn(probing).detach();
    }

    /// Makes the members known to all instances.
    pub fn publish_members(&self) {
        for (index, instance) in self.instances.iter().enumerate() {
            let mut view = (**instance.view.load()).clone();
            view.members = Arc::new(self.members.clone());
            view.incarnation = Some(self.members[index].incarnation);
            view.instance_count = self.members.len();
            view.generation += 1;
            instance.view.store(view.into());
        }
    }

    /// Does what the control threads do at each report of the others.
    pub fn exchange_reach(&self) {
        for receiver in &self.instances {
            let mut reach = HashMap::new();
            for (sender, member) in self.instances.iter().zip(&self.members) {
                if std::ptr::eq(sender, receiver) {
                    continue;
                }
                let out_of_reach = sender.pipeline.shared_loads().out_of_reach();
                let report = PeerReach {
                    received_ms: receiver.clock.mono_ms(),
                    out_of_reach: out_of_reach.into_iter().collect(),
                };
                reach.insert(member.incarnation, report);
            }
            receiver.pipeline.shared_loads().set_peer_reach(reach);
        }
    }

    /// Tells each instance which others are cut off from services.
    pub fn exchange_cuts(&self) {
        for receiver in &self.instances {
            let mut cut_off: HashMap<u64, HashSet<Incarnation>> = HashMap::new();
            for (sender, member) in self.instances.iter().zip(&self.members) {
                if std::ptr::eq(sender, receiver) {
                    continue;
                }
                for service in sender.pipeline.shared_loads().cut_off() {
                    cut_off
                        .entry(service)
                        .or_default()
                        .insert(member.incarnation);
                }
            }
            receiver.pipeline.shared_loads().set_peers_cut_off(cut_off);
        }
    }

    /// Tells each instance the loads of the others.
    pub fn exchange_loads(&self) {
        for receiver in &self.instances {
            let mut sums: HashMap<u64, u32> = HashMap::new();
            for sender in &self.instances {
                if std::ptr::eq(sender, receiver) {
                    continue;
                }
                for entry in sender.pipeline.shared_loads().own() {
                    *sums.entry(entry.endpoint).or_default() += entry.units;
                }
            }
            receiver.pipeline.shared_loads().set_peers(&sums);
        }
    }

    /// Lets the instances work for a while.
    pub fn run_for(&self, time: Duration) {
        let end = async_io::Timer::after(time);
        async_io::block_on(self.executor.run(async { _ = end.await }));
    }

    /// Sends a request to one of the instances and reads the whole response.
    pub fn send(&self, instance: usize, target: &str) -> Received {
        self.exchange_reach();
        let sending = self.instances[instance].send_to(target, &[]);
        async_io::block_on(self.executor.run(sending))
    }
}
