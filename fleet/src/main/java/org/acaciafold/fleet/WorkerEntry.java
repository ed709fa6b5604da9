package org.acaciafold.fleet;

import java.util.Objects;
import java.util.Set;

import org.acaciafold.core.model.Resources;

/**
 * What a worker says of itself where workers register.
 *
 * @param id the worker's identifier
 * @param address where its agent listens
 * @param domain its failure domain
 * @param service the service that it belongs to
 * @param capacity what it has
 * @param labels its kind and its rack
 * @param rack its rack, or empty
 * @param draining true when it is about to leave
 * @param incarnation when this life of it began, in milliseconds since 1970, 0 when unknown
 */
public record WorkerEntry(
        String id,
        String address,
        String domain,
        String service,
        Resources capacity,
        Set<String> labels,
        String rack,
        boolean draining,
        long incarnation) {
    /** Checks and copies the parts. */
    public WorkerEntry {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(domain, "domain");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(capacity, "capacity");
        labels = Set.copyOf(labels);
    }
}
