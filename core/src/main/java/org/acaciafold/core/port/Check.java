package org.acaciafold.core.port;

/**
 * A precondition of a transaction: the row still has the version that was read.
 *
 * @param key the key of the row
 * @param version the expected version, 0 if the row must be absent
 */
public record Check(String key, long version) {}
