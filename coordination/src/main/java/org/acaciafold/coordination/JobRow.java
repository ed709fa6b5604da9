package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.port.Row;

/**
 * The durable record of a job.
 *
 * @param spec the job
 * @param succeeded the tasks that succeeded, as the words of a bit set
 * @param failed the tasks that failed for good, as the words of a bit set
 * @param results the results of the tasks that returned one
 * @param cancelled whether its workspace has cancelled it
 * @param problem the reason why the job cannot continue
 * @param phase the final phase, or {@link JobPhase#WAITING} until the job has ended
 * @param movedTo the new home of the job, empty if the job has not moved
 */
record JobRow(
        JobSpec spec,
        long[] succeeded,
        long[] failed,
        List<TaskResult> results,
        boolean cancelled,
        Optional<String> problem,
        JobPhase phase,
        Optional<SliceId> movedTo) {
    private static final String ACTIVE = "job/";
    private static final String ENDED = "ended/";

    static JobRow of(JobSpec spec) {
        return new JobRow(
                spec, new long[0], new long[0], List.of(), false, Optional.empty(), JobPhase.WAITING, Optional.empty());
    }

    /** Returns the key of the row of a job that has not ended. */
    static String key(SliceId slice, JobId job) {
        return ACTIVE + slice.value() + '/' + job.value();
    }

    /** Returns the key of the row of a job that has ended. */
    static String endedKey(JobId job) {
        return ENDED + job.value();
    }

    static String prefix(SliceId slice) {
        return ACTIVE + slice.value() + '/';
    }

    /** Returns the job to which a row key belongs. */
    static JobId job(String key) {
        return JobId.of(key.substring(key.lastIndexOf('/') + 1));
    }

    static Optional<JobRow> read(Row row) {
        return RowCodec.decode(row, JobRow.class);
    }

    byte[] encoded() {
        return RowCodec.encode(this, JobRow.class);
    }

    /** Returns the tasks that have succeeded or failed for good and never start again. */
    BitSet endedTasks() {
        BitSet ended = BitSet.valueOf(succeeded);
        ended.or(BitSet.valueOf(failed));
        return ended;
    }

    int succeededCount() {
        return BitSet.valueOf(succeeded).cardinality();
    }

    int failedCount() {
        return BitSet.valueOf(failed).cardinality();
    }

    JobRow withSuccess(int task, String result) {
        BitSet bits = BitSet.valueOf(succeeded);
        if (bits.get(task)) {
            return this;
        }
        bits.set(task);
        List<TaskResult> all = new ArrayList<>(results);
        if (!result.isEmpty()) {
            all.add(new TaskResult(task, result));
        }
        return new JobRow(spec, bits.toLongArray(), failed, all, cancelled, problem, phase, movedTo);
    }

    JobRow withFailure(int task) {
        BitSet bits = BitSet.valueOf(failed);
        bits.set(task);
        return new JobRow(spec, succeeded, bits.toLongArray(), results, cancelled, problem, phase, movedTo);
    }

    JobRow withCancellation() {
        return new JobRow(spec, succeeded, failed, results, true, problem, phase, movedTo);
    }

    JobRow withProblem(String reason) {
        return new JobRow(spec, succeeded, failed, results, cancelled, Optional.of(reason), phase, movedTo);
    }

    JobRow withPhase(JobPhase value) {
        return new JobRow(spec, succeeded, failed, results, cancelled, problem, value, movedTo);
    }

    JobRow movedTo(SliceId slice) {
        return new JobRow(spec, succeeded, failed, results, cancelled, problem, phase, Optional.of(slice));
    }

    /** Returns a row that combines what two rows record of the same job. */
    JobRow merge(JobRow that) {
        JobRow merged = this;
        for (TaskResult result : that.results) {
            merged = merged.withSuccess(result.task(), result.result());
        }
        BitSet allSucceeded = BitSet.valueOf(merged.succeeded);
        allSucceeded.or(BitSet.valueOf(that.succeeded));
        BitSet allFailed = BitSet.valueOf(failed);
        allFailed.or(BitSet.valueOf(that.failed));
        return new JobRow(
                spec,
                allSucceeded.toLongArray(),
                allFailed.toLongArray(),
                merged.results,
                cancelled || that.cancelled,
                problem.or(that::problem),
                phase == JobPhase.WAITING ? that.phase : phase,
                movedTo.or(that::movedTo));
    }
}
