package org.acaciafold.core.port;

/**
 * A row of the table service.
 *
 * @param key the key, parts separated by {@code /}
 * @param version the commit that wrote it; versions of the table only go up and are never used again
 * @param value the content, opaque to the table
 */
public record Row(String key, long version, byte[] value) {}
