package org.acaciafold.entry;

/**
 * A client's request with its complete body.
 *
 * @param method the HTTP method
 * @param host the host name from the Host header, without its port
 * @param path the path without its query
 * @param authorization the Authorization header, or an empty string
 * @param body the body
 * @param deadlineMs the time until which the client waits, on the monotonic clock
 */
record ClientRequest(String method, String host, String path, String authorization, byte[] body, long deadlineMs) {}
