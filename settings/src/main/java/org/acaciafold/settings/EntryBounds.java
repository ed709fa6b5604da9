package org.acaciafold.settings;

/**
 * The bounds that a deployment guarantees to its users; times are in milliseconds.
 *
 * @param configApplyMs the time until a new configuration is in force
 * @param leaseMaxMs the longest lease that workers accept
 * @param stopMs the time that a worker may take to stop a task
 * @param graceMs the time that a process may take to stop
 * @param limitOverage the share of its limit that a workspace may use beyond it
 */
public record EntryBounds(long configApplyMs, long leaseMaxMs, long stopMs, long graceMs, double limitOverage) {}
