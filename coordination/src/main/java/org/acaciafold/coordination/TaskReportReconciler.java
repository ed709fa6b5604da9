package org.acaciafold.coordination;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.acaciafold.core.port.TaskEnd;
import org.acaciafold.core.port.TaskView;
import org.acaciafold.core.port.WorkerView;

/** Reconciles the report of a worker with the task tables of its slice. */
final class TaskReportReconciler {
    private final OwnedSlice slice;
    private final WorkerLink link;

    private TaskReportReconciler(OwnedSlice slice, WorkerLink link) {
        this.slice = slice;
        this.link = link;
    }

    static TaskReportReconciler of(OwnedSlice slice, WorkerLink link) {
        return new TaskReportReconciler(slice, link);
    }

    /**
     * Applies the last report of the worker.
     *
     * @param sentMs the time at which the answered claim was sent, in milliseconds
     * @param nowMs the time in milliseconds
     */
    void apply(long sentMs, long nowMs) {
        Set<AttemptId> reported = new HashSet<>();
        link.view().map(WorkerView::tasks).orElse(List.of()).forEach(task -> {
            reported.add(new AttemptId(task.task(), task.attempt()));
            applyTask(task, nowMs);
        });
        link.ends().values().forEach(reportedEnd -> applyEnd(reportedEnd, nowMs));
        for (PlacedTask task : List.copyOf(link.tasks().values())) {
            if (!reported.contains(task.id()) && task.isAbsent(sentMs)) {
                drop(task, nowMs);
            }
        }
    }

    private void applyEnd(ReportedEnd reported, long nowMs) {
        if (reported.applied()) {
            return;
        }
        TaskEnd end = reported.end();
        PlacedTask task = slice.tasks().get(new AttemptId(end.task(), end.attempt()));
        if (task != null) {
            slice.remove(task);
        }
        int failedBefore = failedTasks(end);
        slice.placement().ended(end, nowMs);
        reported.markApplied(failedTasks(end) > failedBefore);
    }

    private int failedTasks(TaskEnd end) {
        return slice.placement()
                .progress(end.task().job())
                .map(progress -> progress.failed())
                .orElse(0);
    }

    private void applyTask(TaskView view, long nowMs) {
        PlacedTask known = slice.tasks().get(new AttemptId(view.task(), view.attempt()));
        if (known != null) {
            confirm(known, nowMs);
        } else if (!hasEnded(view)) {
            slice.place(PlacedTask.ofReport(view.task(), link.worker(), view.attempt(), view.spec(), nowMs));
            slice.placement().adopt(link.worker(), view);
        }
    }

    /** Returns whether the end of this or a later attempt was reported, which means that the view is older. */
    private boolean hasEnded(TaskView view) {
        return link.ends().values().stream()
                .map(ReportedEnd::end)
                .anyMatch(end -> end.task().equals(view.task()) && end.attempt() >= view.attempt());
    }

    private void confirm(PlacedTask task, long nowMs) {
        if (!task.confirmed()) {
            task.confirm(nowMs);
            slice.placement().started(task.task(), task.attempt(), nowMs);
        }
    }

    private void drop(PlacedTask task, long nowMs) {
        slice.remove(task);
        if (task.confirmed()) {
            slice.placement().lost(task.task(), task.attempt());
        } else {
            slice.placement().refused(task.task(), task.attempt(), nowMs);
        }
    }
}
