package org.acaciafold.daemon.request;

import org.acaciafold.core.model.Failure;
import org.acaciafold.wire.RelayResponse;

/** The result of one attempt at a live request. */
sealed interface AttemptResult {
    /**
     * A replica responded, so the request ran.
     *
     * @param response the response, whose body may still be truncated
     */
    record Answered(RelayResponse response) implements AttemptResult {}

    /**
     * No replica responded.
     *
     * @param failure why, and whether the request may have run
     */
    record Failed(Failure failure) implements AttemptResult {}
}
