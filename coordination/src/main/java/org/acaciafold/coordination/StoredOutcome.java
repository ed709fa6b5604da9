package org.acaciafold.coordination;

import org.acaciafold.core.model.Outcome;

/**
 * The first outcome of a request with an idempotency key.
 *
 * @param outcome what is known of it
 * @param status the HTTP status of the response, 0 when there was none
 * @param contentType the content type of the response
 * @param body the response, empty when it was too long to keep
 */
public record StoredOutcome(Outcome outcome, int status, String contentType, byte[] body) {}
