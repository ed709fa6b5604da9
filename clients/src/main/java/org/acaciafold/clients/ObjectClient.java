package org.acaciafold.clients;

import java.util.Optional;

import reactor.core.publisher.Mono;

/** Calls the object store of the platform. */
public interface ObjectClient {
    /**
     * Reads an object.
     *
     * @param key the key
     * @return the object, empty if it does not exist; an error signal carries an
     *     {@link org.acaciafold.core.model.AcaciafoldException}
     */
    Mono<Optional<byte[]>> read(String key);

    /**
     * Writes an object.
     *
     * @param key the key
     * @param value the object
     * @return completes when the object is written; an error signal carries an
     *     {@link org.acaciafold.core.model.AcaciafoldException}
     */
    Mono<Void> write(String key, byte[] value);
}
