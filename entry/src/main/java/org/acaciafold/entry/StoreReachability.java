package org.acaciafold.entry;

import java.util.Collection;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Asks other hosts whether they reach the store, and answers the same query from them. */
final class StoreReachability {
    private static final Logger LOG = LoggerFactory.getLogger(StoreReachability.class);

    private final HostContext host;
    private final String address;

    StoreReachability(HostContext host, String address) {
        this.host = host;
        this.address = address;
    }

    void query(Collection<String> hosts, long epoch) {
        host.bus().sendAll(hosts, new PeerMessage.WhoReachesStore(epoch, address));
    }

    void answer(PeerMessage.WhoReachesStore request) {
        host.store()
                .readOne(StoreRecords.LEASES, StoreRecords.SLICE, StoreRecords.LEASE_KEY)
                .subscribe(
                        row -> host.loop()
                                .execute(() -> host.bus()
                                        .send(
                                                request.address(),
                                                new PeerMessage.ReachesStore(request.epoch(), address))),
                        error -> LOG.info("store unreachable from this host as well reason={}", error.getMessage()));
    }
}
