package org.acaciafold.core.codec;

import java.io.IOException;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes records and sealed interfaces to bytes and decodes them.
 *
 * <p>Example: {@code Codec.json().decode(bytes, JobSpec.class, Step.TABLE, "table")}.
 */
public final class Codec {
    private static final Codec JSON = new Codec(JsonMapper.builder().build(), bytes -> {});
    private static final Codec MESSAGE_PACK =
            new Codec(new ObjectMapper(new MessagePackFactory()), MessagePackLayout::check);

    private final ObjectMapper mapper;
    private final LayoutCheck layout;

    private Codec(ObjectMapper mapper, LayoutCheck layout) {
        this.mapper = mapper;
        this.layout = layout;
        mapper.registerModule(new Jdk8Module());
        mapper.setAnnotationIntrospector(new SealedTypeIntrospector());
        mapper.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    }

    /**
     * Returns the JSON codec, which the protocols shared with other programs use.
     *
     * @return the codec
     */
    public static Codec json() {
        return JSON;
    }

    /**
     * Returns the MessagePack codec, which the messages between entry hosts use.
     *
     * @return the codec
     */
    public static Codec messagePack() {
        return MESSAGE_PACK;
    }

    /**
     * Decodes a value.
     *
     * @param <T> the type of the value
     * @param bytes the encoded value
     * @param type the type of the value
     * @param step the step to report in an error
     * @param peer the peer to report in an error
     * @return the value
     * @throws AcaciafoldException when the bytes do not encode a value of this type
     */
    public <T> T decode(byte[] bytes, Class<T> type, Step step, String peer) throws AcaciafoldException {
        try {
            layout.check(bytes);
            T value = mapper.readValue(bytes, type);
            if (value == null) {
                throw new IOException("the value is null");
            }
            return value;
        } catch (IOException | RuntimeException e) {
            // the MessagePack parser and the constructors of records throw unchecked exceptions
            String message = "not a valid " + type.getSimpleName() + ": " + firstLine(e);
            throw new AcaciafoldException(Failure.notRun(step, peer, "malformed", message), e);
        }
    }

    /**
     * Encodes a value as its own class or as the given sealed interface.
     *
     * @param value the value
     * @param type the type to pass to {@link #decode}, the class of the value or a sealed interface that it implements
     * @param <T> the type of the value
     * @return the encoded value
     */
    public <T> byte[] encode(T value, Class<T> type) {
        try {
            return mapper.writerFor(type).writeValueAsBytes(value);
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode " + type.getSimpleName(), e);
        }
    }

    private static String firstLine(Exception e) {
        String message = String.valueOf(e.getMessage());
        int end = message.indexOf('\n');
        return end < 0 ? message : message.substring(0, end);
    }

    /** Checks encoded bytes before they are parsed. */
    @FunctionalInterface
    private interface LayoutCheck {
        void check(byte[] bytes) throws IOException;
    }
}
