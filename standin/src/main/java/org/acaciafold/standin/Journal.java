package org.acaciafold.standin;

import java.util.List;
import java.util.Map;

/**
 * Journal of an emulated worker, which tests check against their invariants.
 *
 * @param nowMs the time on the worker's clock in milliseconds
 * @param peak the highest concurrent usage
 * @param slotsInUse the number of live requests in progress
 * @param executions the number of executions by key, in the form {@code WORKSPACE/IDEMPOTENCY-KEY}
 * @param entries the events in chronological order
 */
public record Journal(
        long nowMs, PeakUsage peak, int slotsInUse, Map<String, Integer> executions, List<JournalEntry> entries) {}
