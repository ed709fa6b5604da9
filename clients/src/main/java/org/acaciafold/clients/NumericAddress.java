package org.acaciafold.clients;

import java.net.InetAddress;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks the addresses of peers.
 *
 * <p>A name instead of a number would be looked up on the thread that makes the call, which blocks it for seconds.
 */
public final class NumericAddress {
    private static final int MAX_PORT = 65_535;

    private static final Pattern FORM =
            Pattern.compile("(?:(\\d{1,3}(?:\\.\\d{1,3}){3})|\\[([0-9a-fA-F:.]{2,45})\\]):(\\d{1,5})");

    private NumericAddress() {}

    /**
     * Returns whether a text is an IP number and a port that can be called, such as {@code 10.0.0.1:80} or {@code
     * [::1]:80}.
     *
     * @param text the text
     * @return true if it is
     */
    public static boolean isValid(String text) {
        Matcher form = FORM.matcher(text);
        if (!form.matches()) {
            return false;
        }
        int port = Integer.parseInt(form.group(3));
        String number = form.group(1) == null ? form.group(2) : form.group(1);
        try {
            InetAddress.ofLiteral(number);
            return port > 0 && port <= MAX_PORT;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
