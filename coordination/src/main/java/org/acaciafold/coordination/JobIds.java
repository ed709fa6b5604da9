package org.acaciafold.coordination;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.SliceId;

/** Creates job identifiers that contain the slice in which the job is first homed. */
final class JobIds {
    private static final char SEPARATOR = '~';

    private JobIds() {}

    static JobId of(SliceId home, HostConfig host, long number) {
        String incarnation = Long.toUnsignedString(host.incarnation(), Character.MAX_RADIX);
        return JobId.of(home.value() + SEPARATOR + host.host().value() + '.' + incarnation + '.' + number);
    }

    /**
     * Returns the slice in which a job is first homed; for an identifier that was not created by this class, the result
     * is no existing slice.
     */
    static SliceId firstHome(JobId job) {
        int at = job.value().indexOf(SEPARATOR);
        return SliceId.of(at < 1 ? job.value() : job.value().substring(0, at));
    }
}
