//! Requests of other programs at the ports that fake endpoints listen on.

use std::net::SocketAddr;

use catalog::Resource;
use http_types::Method;
use trial::{Deployment, HttpClient, TestCluster};

#[test]
fn requests_without_an_identifier_are_no_runs() {
    let backends = TestCluster::start_backends(Deployment::Authority, 1).unwrap();
    let mut refused = 0;
    for item in &backends.declarations.items {
        let Resource::Pool(pool) = &item.resource else {
            continue;
        };
        let addr: SocketAddr = pool.endpoints[0].addr.parse().unwrap();
        let http = HttpClient::default();
        let reply = smol::block_on(http.call(addr, Method::Get, "/", &[], Vec::new())).unwrap();
        assert_eq!(reply.status, 400, "{}", pool.name);
        refused += 1;
    }
    assert!(refused > 1);
    assert!(backends.state.runs.all().is_empty());
}
