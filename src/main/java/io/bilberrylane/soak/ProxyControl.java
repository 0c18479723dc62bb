package io.bilberrylane.soak;

import io.bilberrylane.net.Transport;
import io.bilberrylane.standin.JsonServer;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Takes faults for proxies over HTTP: {@code POST /fault/INDEX/FAULT}. */
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
     * Returns a running control.
     *
     * @param transport threads and channel types
     * @param address where it listens; port 0 picks one
     * @param proxies what it controls, in the order of their index
     * @return the control
     */
    public static ProxyControl start(
            final Transport transport,
            final InetSocketAddress address,
            final List<FaultProxy> proxies) {
        return new ProxyControl(transport, address, proxies);
    }

    /**
     * Returns where faults are taken.
     *
     * @return IP and port
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
