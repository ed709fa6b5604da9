package org.acaciafold.core.port;

/**
 * A row of the table service.
 *
 * @param key the key, whose parts are separated by {@code /}
 * @param version the version of the commit that wrote it; versions of the table only increase and are never reused
 * @param value the content, opaque to the table
 */
public record Row(String key, long version, byte[] value) {}
