package org.acaciafold.fleet;

import java.util.Objects;
import java.util.Set;

import org.acaciafold.core.model.Resources;

/**
 * A worker's entry in the registry.
 *
 * @param id the worker's identifier
 * @param address the address of the worker's agent
 * @param domain the failure domain of the worker
 * @param service the service that the worker belongs to
 * @param capacity the total resources of the worker
 * @param labels the labels of the worker, such as its kind and its rack
 * @param rack the rack of the worker, or empty
 * @param draining true when the worker is about to leave the fleet
 * @param incarnation the start time of the worker's process, in milliseconds since 1970; 0 when unknown
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
    /** Rejects missing components and copies the labels. */
    public WorkerEntry {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(domain, "domain");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(capacity, "capacity");
        labels = Set.copyOf(labels);
    }
}
