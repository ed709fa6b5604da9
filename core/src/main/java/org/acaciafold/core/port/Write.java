package org.acaciafold.core.port;

import java.util.Optional;

/**
 * A write in a transaction.
 *
 * @param key the key of the row
 * @param value the new content, empty to delete the row
 */
public record Write(String key, Optional<byte[]> value) {}
