package org.acaciafold.entry;

/**
 * A response to a client.
 *
 * @param status the HTTP status
 * @param body the JSON body; empty when there is none
 * @param retryAfterS seconds after which a retry may succeed; 0 sends no Retry-After header
 */
record ClientReply(int status, byte[] body, int retryAfterS) {
    private static final byte[] NO_BODY = new byte[0];
    private static final int OK = 200;

    static ClientReply of(int status) {
        return new ClientReply(status, NO_BODY, 0);
    }

    static ClientReply ok(byte[] body) {
        return new ClientReply(OK, body, 0);
    }

    static ClientReply retry(int status, int afterS) {
        return new ClientReply(status, NO_BODY, afterS);
    }
}
