package org.acaciafold.settings;

import java.net.Inet4Address;
import java.net.InetAddress;

/** Checks addresses that are an IP number and a port. */
final class Addresses {
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Tells whether a text is an IP number and a port; nothing is looked up.
     *
     * @param text such as {@code 10.0.0.1:8080} or {@code [fd00::1]:8080}
     * @return true when it is
     */
    static boolean valid(String text) {
        int colon = text.lastIndexOf(':');
        return colon > 0 && validHost(text.substring(0, colon)) && validPort(text.substring(colon + 1));
    }

    private static boolean validHost(String host) {
        boolean bracketed = host.startsWith("[") && host.endsWith("]");
        String literal = bracketed ? host.substring(1, host.length() - 1) : host;
        try {
            InetAddress address = InetAddress.ofLiteral(literal);
            return address instanceof Inet4Address
                    ? !bracketed && address.getHostAddress().equals(literal)
                    : bracketed;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static boolean validPort(String text) {
        if (!text.matches("[0-9]{1,5}")) {
            return false;
        }
        int port = Integer.parseInt(text);
        return port > 0 && port <= MAX_PORT;
    }
}
