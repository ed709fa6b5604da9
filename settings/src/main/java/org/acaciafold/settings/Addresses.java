package org.acaciafold.settings;

import java.net.Inet4Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Parses addresses that consist of an IP number and a port; host names are never resolved. */
public final class Addresses {
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Parses an address.
     *
     * @param text such as {@code 10.0.0.1:8080} or {@code [fd00::1]:8080}
     * @return the address, or empty if the text is not an IP number and a port
     */
    public static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
            return Optional.empty();
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        return port > 0 && port <= MAX_PORT
                ? parseHost(text.substring(0, colon)).map(host -> new InetSocketAddress(host, port))
                : Optional.empty();
    }

    private static Optional<InetAddress> parseHost(String host) {
        boolean bracketed = host.startsWith("[") && host.endsWith("]");
        String literal = bracketed ? host.substring(1, host.length() - 1) : host;
        try {
            InetAddress address = InetAddress.ofLiteral(literal);
            boolean canonical = address instanceof Inet4Address
                    ? !bracketed && address.getHostAddress().equals(literal)
                    : bracketed;
            return canonical ? Optional.of(address) : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
