package org.acaciafold.wire;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;

/** Receives the events of a connection, always on its event loop. */
interface LinkListener {
    /**
     * Called when the connection has ended.
     *
     * @param failure the reason
     */
    void onClosed(Failure failure);

    /**
     * Called when a frame was received.
     *
     * @param frame the frame
     * @throws AcaciafoldException if the peer violated the protocol; the connection is closed then
     */
    void onFrame(Frame frame) throws AcaciafoldException;

    /** Called when the send buffer accepts data again. */
    void onWritable();
}
