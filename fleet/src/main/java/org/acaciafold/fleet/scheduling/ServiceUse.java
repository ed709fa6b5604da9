package org.acaciafold.fleet.scheduling;

/**
 * What the use of a service by which expired steps are held back consists of, in thousandths of a processor.
 *
 * @param capacity the capacity of the registered workers
 * @param used the part of it that runs occupy, whatever is known of them
 * @param lasting the part of the use that tasks that last have
 * @param unconfirmed the part of the use that no worker has listed yet
 * @param silent the part of the use on workers that do not answer
 * @param silentCapacity the capacity of workers that do not answer
 */
record ServiceUse(long capacity, long used, long lasting, long unconfirmed, long silent, long silentCapacity) {
    /** Counts the workers of a service and the runs there. */
    static ServiceUse of(String service, Tables tables) {
        long capacity = 0;
        long used = 0;
        long lasting = 0;
        long unconfirmed = 0;
        long silent = 0;
        long silentCapacity = 0;
        for (WorkerRow worker : tables.workers.values()) {
            boolean counts = FleetUtilization.counts(worker)
                    && worker.entry().orElseThrow().service().equals(service);
            if (!counts) {
                continue;
            }
            capacity += worker.entry().orElseThrow().capacity().cpuMillis();
            used += worker.used.cpuMillis();
            silent += worker.answers() ? 0 : worker.used.cpuMillis();
            silentCapacity += worker.answers()
                    ? 0
                    : worker.entry().orElseThrow().capacity().cpuMillis();
            for (RunRow run : worker.runs.values()) {
                lasting += run.task.step.spec.longRunning() ? run.resources.cpuMillis() : 0;
                unconfirmed += run.phase == RunPhase.RUNNING ? 0 : run.resources.cpuMillis();
            }
        }
        return new ServiceUse(capacity, used, lasting, unconfirmed, silent, silentCapacity);
    }
}
