package org.acaciafold.entry;

/**
 * A request of a consumer, read whole.
 *
 * @param method the HTTP method
 * @param host the host name it was sent to
 * @param path the path without its query
 * @param authorization the authorization header, or empty
 * @param body the body
 * @param deadlineMs until when the consumer waits, on the steady clock
 */
record ClientRequest(String method, String host, String path, String authorization, byte[] body, long deadlineMs) {}
