package org.acaciafold.core.port;

import java.util.List;

import org.acaciafold.core.model.Resources;

/**
 * What a worker has and runs.
 *
 * @param capacity all it has
 * @param rack its rack
 * @param slots live requests it serves at once
 * @param connections connections it accepts at once
 * @param slotsInUse live requests it serves now
 * @param leaving whether it is about to leave
 * @param tasks the tasks on it
 */
public record WorkerView(
        Resources capacity,
        String rack,
        int slots,
        int connections,
        int slotsInUse,
        boolean leaving,
        List<TaskView> tasks) {}
