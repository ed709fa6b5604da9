package org.acaciafold.coordination;

import java.util.Optional;

import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.port.Row;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Encodes the rows of the table service. */
final class RowCodec {
    private static final Logger LOG = LoggerFactory.getLogger(RowCodec.class);

    private RowCodec() {}

    /** Returns the content of a row, empty if it cannot be decoded as the type. */
    static <T> Optional<T> decode(Row row, Class<T> type) {
        try {
            return Optional.of(Codec.messagePack().decode(row.value(), type, Step.TABLE, row.key()));
        } catch (AcaciafoldException e) {
            LOG.error("row {} of version {} is unreadable: {}", row.key(), row.version(), e.getMessage());
            return Optional.empty();
        }
    }

    static <T> byte[] encode(T value, Class<T> type) {
        return Codec.messagePack().encode(value, type);
    }
}
