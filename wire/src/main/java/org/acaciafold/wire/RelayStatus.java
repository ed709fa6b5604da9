package org.acaciafold.wire;

import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.Failure;

/**
 * The head of the response to a relayed request.
 *
 * @param requestId the correlation id of the request
 * @param status the HTTP status
 * @param headers the headers to forward
 * @param failure the typed error if no worker responded
 */
public record RelayStatus(String requestId, int status, List<Header> headers, Optional<Failure> failure) {}
