package org.acaciafold.coordination;

import org.acaciafold.core.model.Outcome;

/**
 * The first outcome of a request with an idempotency key.
 *
 * @param outcome whether the request ran, as far as is known
 * @param status the HTTP status of the response, 0 if there was none
 * @param contentType the content type of the response
 * @param body the body of the response, empty if it was too long to store
 */
public record StoredOutcome(Outcome outcome, int status, String contentType, byte[] body) {}
