package io.bilberrylane.node;

import java.net.InetSocketAddress;

/** Parses and formats socket addresses of the form {@code IP:PORT}. */
public final class Addresses {
    private Addresses() {}

    /**
     * Parses an address.
     *
     * @param text the IP address and port, separated by a colon; an IPv6 address may be in brackets
     * @return the socket address
     * @throws IllegalArgumentException if the text is not an IP address and a port
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

    /**
     * Returns whether a text is an address to which a connection can be opened.
     *
     * @param text any text
     * @return false if it is not an IP address and a port from 1 to 65535
     */
    public static boolean isValid(final String text) {
        try {
            return parse(text).getPort() > 0;
        } catch (IllegalArgumentException e) {
            return false;
        }
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
     * Formats an address.
     *
     * @param address the address
     * @return the IP address and port, separated by a colon
     */
    public static String format(final InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
