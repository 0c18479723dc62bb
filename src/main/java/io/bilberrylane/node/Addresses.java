package io.bilberrylane.node;

import java.net.InetSocketAddress;

/** Reads and writes addresses as IP and port. */
public final class Addresses {
    private Addresses() {}

    /**
     * Returns the address of a text.
     *
     * @param text IP and port with a colon between them
     * @return the address
     * @throws IllegalArgumentException when the text is no address
     */
    public static InetSocketAddress parse(final String text) {
        final int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("'" + text + "' is not IP:PORT");
        }
        final int port = parsePort(text.substring(colon + 1));
        final String ip = text.substring(0, colon).replace("[", "").replace("]", "");
        if (!io.netty.util.NetUtil.isValidIpV4Address(ip)
                && !io.netty.util.NetUtil.isValidIpV6Address(ip)) {
            throw new IllegalArgumentException("'" + ip + "' is not an IP number");
        }
        return new InetSocketAddress(ip, port);
    }

    private static int parsePort(final String text) {
        try {
            final int port = Integer.parseInt(text);
            if (port >= 0 && port <= 65_535) {
                return port;
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("'" + text + "' is not a port", e);
        }
        throw new IllegalArgumentException("port " + text + " is not from 0 to 65535");
    }

    /**
     * Returns the text of an address.
     *
     * @param address the address
     * @return IP and port with a colon between them
     */
    public static String format(final InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
