package org.acaciafold.daemon.request;

import org.acaciafold.wire.RelayHead;

/** Copies request heads, with one field changed, for the next hop. */
final class RequestHeads {
    private RequestHeads() {}

    static RelayHead withDeadline(RelayHead head, long leftMs) {
        return new RelayHead(
                head.requestId(),
                head.workspace(),
                head.service(),
                head.method(),
                head.path(),
                head.headers(),
                leftMs,
                head.traceparent(),
                head.repeatable());
    }

    static RelayHead withRequestId(RelayHead head, String requestId) {
        return new RelayHead(
                requestId,
                head.workspace(),
                head.service(),
                head.method(),
                head.path(),
                head.headers(),
                head.deadlineLeftMs(),
                head.traceparent(),
                head.repeatable());
    }

    static RelayHead withTrace(RelayHead head, String traceparent) {
        return new RelayHead(
                head.requestId(),
                head.workspace(),
                head.service(),
                head.method(),
                head.path(),
                head.headers(),
                head.deadlineLeftMs(),
                traceparent,
                head.repeatable());
    }
}
