package org.acaciafold.core.port;

import java.util.List;

import org.acaciafold.core.model.Resources;

/**
 * The resources and tasks of a worker, as the worker reports them.
 *
 * @param capacity its total resources
 * @param rack its rack
 * @param slots the maximum number of concurrent live requests
 * @param connections the maximum number of concurrent connections
 * @param slotsInUse the number of live requests in progress
 * @param leaving whether it is about to leave
 * @param tasks the tasks on the worker
 */
public record WorkerView(
        Resources capacity,
        String rack,
        int slots,
        int connections,
        int slotsInUse,
        boolean leaving,
        List<TaskView> tasks) {}
