package org.acaciafold.settings;

/**
 * The bounds that a deployment promises to its users.
 *
 * @param configApplyMs how soon a configuration is in force
 * @param leaseMaxMs the longest lease that workers accept
 * @param stopMs how long a worker may take to stop a task
 * @param earlyMs how much earlier than due an occurrence may start
 * @param visibleMs how soon an accepted job is known at every host
 * @param graceMs how long a process may take to stop
 */
public record EntryBounds(
        long configApplyMs, long leaseMaxMs, long stopMs, long earlyMs, long visibleMs, long graceMs) {}
