package io.bilberrylane.soak;

import io.bilberrylane.net.Transport;
import io.bilberrylane.standin.JsonServer;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An HTTP endpoint that sets the faults of proxies: {@code POST /fault/INDEX/FAULT}. */
public final class ProxyControl implements AutoCloseable {
    private static final Pattern PATH = Pattern.compile("/fault/(\\d{1,4})/([a-z-]+)");

    private final List<FaultProxy> mProxies;
    private final JsonServer mServer;

    private ProxyControl(
            final Transport transport,
            final InetSocketAddress address,
            final List<FaultProxy> proxies) {
        mProxies = List.copyOf(proxies);
        mServer =
                JsonServer.bind(
                        transport,
                        address,
                        (ctx, request) ->
                                JsonServer.respond(ctx, request, applyFault(request.uri()), "{}"));
    }

    /**
     * Starts the endpoint.
     *
     * @param transport the threads and channel types
     * @param address the address to listen on; port 0 selects a free port
     * @param proxies the proxies to control; INDEX is the position in this list, from 0
     * @return the listening endpoint
     */
    public static ProxyControl start(
            final Transport transport,
            final InetSocketAddress address,
            final List<FaultProxy> proxies) {
        return new ProxyControl(transport, address, proxies);
    }

    /**
     * Returns the address that the endpoint listens on.
     *
     * @return the IP address and port
     */
    public InetSocketAddress address() {
        return mServer.address();
    }

    private int applyFault(final String uri) {
        final Matcher matcher = PATH.matcher(uri);
        if (!matcher.matches()) {
            return 404;
        }
        final int index = Integer.parseInt(matcher.group(1));
        final Optional<ProxyFault> fault = ProxyFault.ofName(matcher.group(2));
        if (index >= mProxies.size() || fault.isEmpty()) {
            return 400;
        }
        mProxies.get(index).setFault(fault.get());
        return 200;
    }

    @Override
    public void close() {
        mServer.close();
    }
}
