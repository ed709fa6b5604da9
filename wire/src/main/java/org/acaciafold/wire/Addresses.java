package org.acaciafold.wire;

import java.net.InetAddress;
import java.net.InetSocketAddress;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;

/** Parses and formats socket addresses of the form {@code IP:port}; an IPv6 address is in brackets. */
public final class Addresses {
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Formats an address.
     *
     * @param address the resolved address
     * @return the text
     */
    public static String format(InetSocketAddress address) {
        String number = address.getAddress().getHostAddress();
        return (number.indexOf(':') < 0 ? number : "[" + number + "]") + ":" + address.getPort();
    }

    /**
     * Parses an address.
     *
     * @param text the text
     * @return the address
     * @throws AcaciafoldException if the text is not an IP address and a port
     */
    public static InetSocketAddress parse(String text) throws AcaciafoldException {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw malformed(text, null);
        }
        try {
            String number = text.substring(0, colon).replace("[", "").replace("]", "");
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 0 || port > MAX_PORT) {
                throw malformed(text, null);
            }
            return new InetSocketAddress(InetAddress.ofLiteral(number), port);
        } catch (IllegalArgumentException e) {
            throw malformed(text, e);
        }
    }

    private static AcaciafoldException malformed(String text, Exception cause) {
        String message = "not an IP number and a port: " + text;
        return new AcaciafoldException(Failure.notRun(Step.SETTINGS, text, "malformed-address", message), cause);
    }
}
