package org.acaciafold.wire;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;

/** Takes what happens on a connection, always on its event loop. */
interface LinkListener {
    /**
     * The connection has ended.
     *
     * @param failure why
     */
    void closed(Failure failure);

    /**
     * A frame was received.
     *
     * @param frame the frame
     * @throws AcaciafoldException when the peer broke the protocol; the connection is closed then
     */
    void frame(Frame frame) throws AcaciafoldException;

    /** The send buffer has room again. */
    void writable();
}
