package org.acaciafold.settings;

/**
 * The time bounds that a deployment guarantees to its users, in milliseconds.
 *
 * @param configApplyMs the time until a new configuration is in force
 * @param leaseMaxMs the longest lease that workers accept
 * @param stopMs the time that a worker may take to stop a task
 * @param graceMs the time that a process may take to stop
 */
public record EntryBounds(long configApplyMs, long leaseMaxMs, long stopMs, long graceMs) {}
