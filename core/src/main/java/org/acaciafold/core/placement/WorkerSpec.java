package org.acaciafold.core.placement;

import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.WorkerId;

/**
 * The description of a worker that placement uses.
 *
 * @param id the identifier of the worker
 * @param rack its rack
 * @param capacity its total capacity
 */
public record WorkerSpec(WorkerId id, String rack, Resources capacity) {}
