package org.acaciafold.core.request;

/**
 * How the use of a slot ended.
 *
 * @param succeeded whether the replica answered well
 * @param ended whether the request certainly runs no more, or never ran
 * @param tookMs how long it took in milliseconds
 */
public record SlotOutcome(boolean succeeded, boolean ended, long tookMs) {}
