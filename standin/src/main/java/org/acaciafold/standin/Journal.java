package org.acaciafold.standin;

import java.util.List;
import java.util.Map;

/**
 * What a worker has seen, for the oracles of tests.
 *
 * @param nowMs the worker's clock in milliseconds
 * @param peak the most in use at once
 * @param slotsInUse live requests that run now
 * @param executions executions by workspace, slash and idempotency key
 * @param entries what happened, in order
 */
public record Journal(
        long nowMs, PeakUsage peak, int slotsInUse, Map<String, Integer> executions, List<JournalEntry> entries) {}
