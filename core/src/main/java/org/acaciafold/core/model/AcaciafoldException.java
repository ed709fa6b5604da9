package org.acaciafold.core.model;

import java.util.Objects;

/** A checked exception that carries a {@link Failure}. */
public class AcaciafoldException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Failure failure;

    /**
     * Creates an exception.
     *
     * @param failure the typed error
     */
    public AcaciafoldException(Failure failure) {
        super(describe(failure));
        this.failure = failure;
    }

    /**
     * Creates an exception with its cause.
     *
     * @param failure the typed error
     * @param cause the cause
     */
    public AcaciafoldException(Failure failure, Throwable cause) {
        super(describe(failure), cause);
        this.failure = failure;
    }

    /**
     * Returns the typed error.
     *
     * @return the typed error
     */
    public Failure failure() {
        return failure;
    }

    private static String describe(Failure failure) {
        Objects.requireNonNull(failure, "failure");
        return failure.code() + " at " + failure.step() + " (" + failure.peer() + "): " + failure.message();
    }
}
