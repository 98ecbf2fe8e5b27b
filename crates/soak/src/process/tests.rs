//! Tests of the ports of daemons.

use super::*;

#[test]
fn no_two_daemons_get_the_same_port() {
    // A seed failed as a daemon took a port that another had chosen and not opened yet.
    let mut taken = collections::BTreeSet::new();
    let mut all = collections::BTreeSet::new();
    for _ in 0..100 {
        let ports = Ports::choose(&mut taken).expect("free ports");
        for address in [ports.entry, ports.gate, ports.control, ports.beside, ports.admin] {
            assert!(all.insert(address.port()), "{address} is given twice");
        }
    }
}
