package org.acaciafold.coordination;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.Write;

/**
 * Marks a job as cancelled in its row.
 *
 * @param cancellation the call
 * @param found the row as it was read
 * @param written called when the mark is durable
 * @param changed called when the row has changed since it was read
 */
record CancellationWrite(Cancellation cancellation, JobLookup.Result.Found found, Runnable written, Runnable changed)
        implements TableWrite {
    @Override
    public boolean abandoned() {
        return cancellation.abandoned();
    }

    @Override
    public List<Check> checks() {
        return List.of(new Check(key(), found.version()));
    }

    @Override
    public void committed(long version) {
        cancellation.answer(new ClientReply.Cancelling(cancellation.job()));
        written.run();
    }

    @Override
    public void conflicted(Map<String, Row> current) {
        changed.run();
    }

    @Override
    public void sending() {
        cancellation.sent();
    }

    @Override
    public List<Write> writes() {
        return List.of(
                new Write(key(), Optional.of(found.row().withCancellation().encoded())));
    }

    private String key() {
        return JobRow.key(found.home(), cancellation.job());
    }
}
