package org.acaciafold.settings;

/**
 * The bounds that a deployment promises to its users.
 *
 * @param configApplyMs how soon a configuration is in force
 * @param leaseMaxMs the longest lease that workers accept
 * @param stopMs how long a worker may take to stop a task
 * @param graceMs how long a process may take to stop
 */
public record EntryBounds(long configApplyMs, long leaseMaxMs, long stopMs, long graceMs) {}
