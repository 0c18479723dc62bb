package io.bilberrylane.node;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** The data centres of peers to which calls were sent, by peer address. */
final class PeerDataCentres {
    private static final int MAX_PEERS = 8_192;

    private final Map<InetSocketAddress, String> mDataCentres = new ConcurrentHashMap<>();

    void recordPeer(final TargetRef target) {
        if (mDataCentres.size() >= MAX_PEERS) {
            mDataCentres.clear();
        }
        mDataCentres.putIfAbsent(target.peerAddress(), target.candidate().dataCentre());
    }

    Optional<String> dataCentreOf(final InetSocketAddress address) {
        return Optional.ofNullable(mDataCentres.get(address));
    }
}
