//! Tests of the port selection.

use super::*;

#[test]
fn no_two_daemons_get_the_same_port() {
    // Guards against a failure of the soak: a daemon was given a port already chosen for another
    // daemon, which had not opened it yet.
    let mut reserved = collections::BTreeSet::new();
    let mut all = collections::BTreeSet::new();
    for _ in 0..100 {
        let ports = Ports::choose(&mut reserved).expect("free ports");
        for address in [ports.ingress, ports.sidecar, ports.control, ports.local, ports.admin] {
            assert!(all.insert(address.port()), "{address} is assigned twice");
        }
    }
}
