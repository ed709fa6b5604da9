package org.acaciafold.standin;

import java.util.HashMap;
import java.util.Map;

import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.JobSpec;

/**
 * Simulated behaviour of a task, parsed from the payload of its job.
 *
 * <p>The payload is a list of words separated by blanks or semicolons: {@code run=MS} sets the run time, {@code fail}
 * makes every attempt fail, {@code fail=N} makes the first N attempts fail, {@code result=TEXT} sets the result. A task
 * without {@code run} runs for the declared run time, at most {@link #MAX_DECLARED_MS}. A replica of a service runs
 * until it is stopped. Its words control the answers to live requests: {@code stream=CHUNKS} streams that many chunks,
 * {@code sleep=MS} delays the answer or each of its chunks, {@code hold} returns the number of executions with the same
 * idempotency key.
 */
record SimulatedWork(Map<String, String> words) {
    static final long MAX_DECLARED_MS = 5_000;

    static SimulatedWork of(JobSpec spec) {
        return of(spec.payload());
    }

    static SimulatedWork of(String payload) {
        Map<String, String> words = new HashMap<>();
        for (String word : payload.trim().split("[\\s;]+")) {
            int equalsSign = word.indexOf('=');
            words.put(
                    equalsSign < 0 ? word : word.substring(0, equalsSign),
                    equalsSign < 0 ? "" : word.substring(equalsSign + 1));
        }
        return new SimulatedWork(words);
    }

    boolean fails(long attempt) {
        String attempts = words.get("fail");
        if (attempts == null) {
            return false;
        }
        return attempts.isEmpty() || attempt <= Long.parseLong(attempts);
    }

    boolean countsExecutions() {
        return words.containsKey("hold");
    }

    String result(JobSpec spec) {
        return words.getOrDefault("result", "done " + spec.name());
    }

    long runMs(JobSpec spec) {
        if (spec.kind() instanceof JobKind.Service) {
            return Long.MAX_VALUE;
        }
        String given = words.get("run");
        return given == null ? Math.min(spec.runTimeMs(), MAX_DECLARED_MS) : Long.parseLong(given);
    }

    long sleepMs() {
        return Long.parseLong(words.getOrDefault("sleep", "0"));
    }

    int streamChunks() {
        return Integer.parseInt(words.getOrDefault("stream", "0"));
    }
}
