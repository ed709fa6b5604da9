package org.acaciafold.daemon;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

import org.acaciafold.coordination.JobRequest;
import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.Step;

/** Decodes and validates the jobs that callers submit, before anything is stored. */
final class JobRequests {
    private static final String CALLER = "caller";
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");
    private static final Pattern KEY = Pattern.compile("[\\x21-\\x7e]{1,200}");
    private static final int MAX_TASKS = 100_000;
    private static final long MAX_CPU_MILLIS = 100_000_000;
    private static final long MAX_MEMORY_MIB = 1L << 30;
    private static final long MAX_ACCELERATORS = 100_000;
    private static final long MAX_RUN_TIME_MS = 366L * 24 * 3_600_000;
    private static final int MAX_PAYLOAD_BYTES = 64 * 1024;

    private JobRequests() {}

    /**
     * Validates an idempotency key.
     *
     * @param key the key, empty for none
     * @return the key
     * @throws AcaciafoldException when the key is too long or contains characters other than visible ASCII
     */
    static String checkKey(String key) throws AcaciafoldException {
        require(
                key.isEmpty() || KEY.matcher(key).matches(),
                "Idempotency-Key must be 1 to 200 visible ASCII characters");
        return key;
    }

    /**
     * Decodes a job and validates it.
     *
     * @param body the body of the request
     * @return the job
     * @throws AcaciafoldException when the body is malformed or a size is out of range
     */
    static JobRequest read(byte[] body) throws AcaciafoldException {
        JobRequest request = Codec.json().decode(body, JobRequest.class, Step.ADMISSION, CALLER);
        require(request.name() != null && NAME.matcher(request.name()).matches(), "name must match " + NAME);
        require(request.kind() != null, "kind is missing");
        require(request.demand() != null, "demand is missing");
        require(request.priority() != null, "priority is missing");
        require(request.payload() != null, "payload is missing");
        checkSizes(request);
        return request;
    }

    private static void checkDemand(Resources demand) throws AcaciafoldException {
        requireInRange("demand.cpuMillis", demand.cpuMillis(), 1, MAX_CPU_MILLIS);
        requireInRange("demand.memoryMib", demand.memoryMib(), 0, MAX_MEMORY_MIB);
        requireInRange("demand.accelerators", demand.accelerators(), 0, MAX_ACCELERATORS);
    }

    private static void checkSizes(JobRequest request) throws AcaciafoldException {
        requireInRange("kind.tasks", request.kind().tasks(), 1, MAX_TASKS);
        checkDemand(request.demand());
        requireInRange("runTimeMs", request.runTimeMs(), 0, MAX_RUN_TIME_MS);
        if (request.kind() instanceof JobKind.Batch batch) {
            require(batch.finishWithinMs() != null, "kind.finishWithinMs is missing");
            requireInRange("kind.finishWithinMs", batch.finishWithinMs().orElse(1), 1, MAX_RUN_TIME_MS);
        }
        int payloadBytes = request.payload().getBytes(StandardCharsets.UTF_8).length;
        requireInRange("the length of payload", payloadBytes, 0, MAX_PAYLOAD_BYTES);
    }

    private static void requireInRange(String name, long value, long min, long max) throws AcaciafoldException {
        require(value >= min && value <= max, name + " must be from " + min + " to " + max + ", not " + value);
    }

    private static void require(boolean valid, String message) throws AcaciafoldException {
        if (!valid) {
            throw new AcaciafoldException(Failure.notRun(Step.ADMISSION, CALLER, "malformed", message));
        }
    }
}
