package org.acaciafold.core.request;

/**
 * The outcome of the use of a slot.
 *
 * @param succeeded whether the replica answered successfully
 * @param ended whether the request has certainly ended or never ran
 * @param tookMs the duration of the request in milliseconds
 */
public record SlotOutcome(boolean succeeded, boolean ended, long tookMs) {}
