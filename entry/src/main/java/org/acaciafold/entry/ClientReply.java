package org.acaciafold.entry;

/**
 * An answer to a consumer.
 *
 * @param status the HTTP status
 * @param body the JSON body, empty for none
 * @param retryAfterS seconds after which a repeat may succeed, 0 when there is nothing to say
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
