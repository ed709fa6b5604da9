package org.acaciafold.core.placement;

import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.WorkerId;

/**
 * A worker as placement sees it.
 *
 * @param id the worker
 * @param rack its rack
 * @param capacity all it has
 */
public record WorkerSpec(WorkerId id, String rack, Resources capacity) {}
