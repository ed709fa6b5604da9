package org.acaciafold.daemon;

import org.acaciafold.core.model.Failure;

/** Maps typed errors to HTTP statuses. */
public final class FailureStatus {
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int FORBIDDEN = 403;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_LONG = 413;
    private static final int WRONG_TYPE = 415;
    private static final int UNPROCESSABLE = 422;
    private static final int TOO_MANY = 429;
    private static final int INTERNAL_ERROR = 500;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private FailureStatus() {}

    /**
     * Returns the HTTP status with which an error is answered.
     *
     * @param failure the typed error
     * @return a status of 400 or above
     */
    public static int of(Failure failure) {
        return switch (failure.code()) {
            case "malformed", "bad-request", "request-cut" -> BAD_REQUEST;
            case "no-key", "wrong-key" -> UNAUTHORIZED;
            case "forbidden", "other-workspace" -> FORBIDDEN;
            case "not-found",
                    "unknown-job",
                    "unknown-workspace",
                    "unknown-service",
                    "unknown-edit",
                    "unknown-key",
                    "unknown-subtree" -> NOT_FOUND;
            case "conflict", "key-reused", "edit-reused", "not-ended" -> CONFLICT;
            case "too-long" -> TOO_LONG;
            case "content-type" -> WRONG_TYPE;
            case "can-never-run", "invalid-settings" -> UNPROCESSABLE;
            case "limit", "queue-full", "overloaded" -> TOO_MANY;
            case "deadline" -> GATEWAY_TIMEOUT;
            case "internal" -> INTERNAL_ERROR;
            default -> ofStep(failure);
        };
    }

    /** Returns whether responses with a status always carry a {@code Retry-After} header. */
    static boolean temporary(int status) {
        return status == TOO_MANY || status == UNAVAILABLE;
    }

    private static int ofStep(Failure failure) {
        return switch (failure.step()) {
            case AUTHORIZATION -> UNAUTHORIZED;
            case SETTINGS -> UNPROCESSABLE;
            case WORKER, RESPONSE -> BAD_GATEWAY;
            case ADMISSION, CLAIM, ROUTING, TABLE, OBJECTS, PEER, PLACEMENT -> UNAVAILABLE;
        };
    }
}
