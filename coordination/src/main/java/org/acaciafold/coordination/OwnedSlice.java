package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.placement.JobProgress;
import org.acaciafold.core.placement.PlacementEngine;
import org.acaciafold.core.placement.PlacementSummary;
import org.acaciafold.core.port.StopMode;

/** A slice that this host owns, with its placement, its workers, its jobs and the allotments of its workspaces. */
final class OwnedSlice {
    private final SliceId id;
    private final Fence fence;
    private final PlacementEngine placement;
    private final Map<WorkspaceId, Resources> allotments = new TreeMap<>();
    private final Map<WorkspaceId, Resources> wanted = new TreeMap<>();
    private final Map<WorkerId, WorkerLink> links = new TreeMap<>();
    private final TreeMap<AttemptId, PlacedTask> tasks = new TreeMap<>();
    private final Map<AttemptId, PlacedTask> stops = new TreeMap<>();
    private final Map<JobId, HomedJob> jobs = new TreeMap<>();
    private final List<PendingEnd> newEnds = new ArrayList<>();
    private long authorityUntilMs = Times.NEVER_MS;
    private long lastAuthorityMs = Times.NEVER_MS;
    private boolean granted;
    private boolean everGranted;
    private long firstAuthorityMs;
    private boolean suspended;
    private long suspendedSinceMs;
    private long tableContactMs = Times.NEVER_MS;
    private SliceRow row;
    private long rowVersion;
    private boolean holdsRow;
    private Set<WorkerId> commonMembers = Set.of();
    private long takenMs;
    private boolean scanned;
    private long scanRequests;
    private boolean settled;
    private Fence fencedBy = Fence.none();
    private List<ServiceSummary> services = List.of();

    private OwnedSlice(SliceId id, Fence fence, PlacementEngine placement) {
        this.id = id;
        this.fence = fence;
        this.placement = placement;
    }

    static OwnedSlice of(SliceId id, Fence fence, PlacementEngine placement) {
        return new OwnedSlice(id, fence, placement);
    }

    /** Returns what each workspace may have running in this slice; written by the allotment system. */
    Map<WorkspaceId, Resources> allotments() {
        return allotments;
    }

    /** Returns the time in milliseconds until which nobody else can have taken the slice over. */
    long authorityUntilMs() {
        return authorityUntilMs;
    }

    /** Lets authority that has lapsed count again, after a renewal of the row that was sent later. */
    void resume(long renewalSentMs) {
        if (suspended && renewalSentMs >= suspendedSinceMs) {
            suspended = false;
        }
    }

    /**
     * Computes the authority from the control leases of the members.
     *
     * <p>Once it has lapsed it stays so until the row was renewed: a paused owner must not count leases that workers
     * granted again, because others may have owned the slice meanwhile.
     *
     * @param nowMs the time in milliseconds
     */
    void updateAuthority(long nowMs) {
        if (granted && nowMs >= authorityUntilMs) {
            granted = false;
            suspended = true;
            suspendedSinceMs = nowMs;
        }
        authorityUntilMs = suspended ? Times.NEVER_MS : majorityUntilMs();
        granted = nowMs < authorityUntilMs;
        if (granted && !everGranted) {
            everGranted = true;
            firstAuthorityMs = nowMs;
        }
        lastAuthorityMs = granted ? authorityUntilMs : lastAuthorityMs;
    }

    /**
     * Tells whether everything that former owners started has ended, also where this owner never got an answer.
     *
     * <p>A former owner may have renewed leases until this one first had authority.
     *
     * @param nowMs the time in milliseconds
     * @param config the durations of the leases
     * @return whether all those leases have run out
     */
    boolean outlivesFormerOwners(long nowMs, HostConfig config) {
        long leasesMs = config.controlLeaseMs() + config.taskLeaseMs() + config.clockMarginMs();
        return everGranted && nowMs > firstAuthorityMs + leasesMs;
    }

    /** Returns when authority ended last, or will end; the takeover when there was none yet, in milliseconds. */
    long lastAuthorityMs() {
        return Math.max(lastAuthorityMs, takenMs);
    }

    Fence fence() {
        return fence;
    }

    /** Returns the highest fencing token that a worker of the slice has answered with. */
    Fence fencedBy() {
        return fencedBy;
    }

    void fencedBy(Fence highest) {
        if (highest.compareTo(fencedBy) > 0) {
            fencedBy = highest;
        }
    }

    boolean hasAuthority(long nowMs) {
        return nowMs < authorityUntilMs;
    }

    /** Tells whether a worker belongs to each set of members, so that every possible taker would ask it. */
    boolean isCommonMember(WorkerId worker) {
        return commonMembers.contains(worker);
    }

    /** Returns whether the row names this host as far as it knows. */
    boolean holdsRow() {
        return holdsRow;
    }

    SliceId id() {
        return id;
    }

    /** Returns the jobs homed in the slice that have not ended; written by the job system. */
    Map<JobId, HomedJob> jobs() {
        return jobs;
    }

    /** Returns the largest amount of each resource that one reachable worker has. */
    private Resources largestWorker() {
        Resources largest = Resources.empty();
        for (WorkerLink link : links.values()) {
            Resources capacity = link.view().map(view -> view.capacity()).orElse(Resources.empty());
            largest = Resources.of(
                    Math.max(largest.cpuMillis(), capacity.cpuMillis()),
                    Math.max(largest.memoryMib(), capacity.memoryMib()),
                    Math.max(largest.accelerators(), capacity.accelerators()));
        }
        return largest;
    }

    /** Returns the workers of the slice; written by the worker system. */
    Map<WorkerId, WorkerLink> links() {
        return links;
    }

    /**
     * Computes until when a majority of each set of members certainly holds the control lease of this owner.
     *
     * @return a time in milliseconds, {@link Long#MIN_VALUE} when there are no members
     */
    private long majorityUntilMs() {
        long until = Long.MAX_VALUE;
        for (List<WorkerId> members : row.memberSets()) {
            if (!members.isEmpty()) {
                until = Math.min(until, majorityUntilMs(members));
            }
        }
        return until == Long.MAX_VALUE ? Times.NEVER_MS : until;
    }

    /** Returns the reported ends that the job system has not handled. */
    List<PendingEnd> newEnds() {
        return newEnds;
    }

    /** Adds a task to the tables. */
    void place(PlacedTask task) {
        tasks.put(task.id(), task);
        links.get(task.worker()).tasks().put(task.id(), task);
    }

    PlacementEngine placement() {
        return placement;
    }

    /** Returns the row as this host knows it. */
    SliceRow row() {
        return row;
    }

    long rowVersion() {
        return rowVersion;
    }

    void row(SliceRow value, long version, boolean held) {
        row = value;
        rowVersion = version;
        holdsRow = held;
        commonMembers = row.commonMembers();
    }

    /** Returns whether all jobs of the slice were read from the table since the takeover. */
    boolean scanned() {
        return scanned;
    }

    /** Asks for a new scan of the jobs, before which no exclusive task starts. */
    void requestScan() {
        scanned = false;
        scanRequests++;
    }

    /** Returns how many scans were asked for, to tell whether a scan began after the last request. */
    long scanRequests() {
        return scanRequests;
    }

    void scanned(long requestsAtBegin) {
        scanned = scanRequests == requestsAtBegin;
    }

    /** Tells whether each member has answered this owner. */
    boolean everyMemberSeen() {
        for (WorkerId member : row.everyMember()) {
            WorkerLink link = links.get(member);
            if (link == null || link.view().isEmpty()) {
                return false;
            }
        }
        return true;
    }

    /** Returns the services with replicas in this slice; written by the slot system. */
    List<ServiceSummary> services() {
        return services;
    }

    void services(List<ServiceSummary> value) {
        services = value;
    }

    /** Returns whether every member has told what runs on it, or can run nothing any more; written by the worker system. */
    boolean settled() {
        return settled;
    }

    void settled(boolean value) {
        settled = value;
    }

    /** Returns when the last answered renewal in the table was sent, in milliseconds. */
    long tableContactMs() {
        return tableContactMs;
    }

    void tableContactMs(long value) {
        tableContactMs = Math.max(tableContactMs, value);
    }

    /** Returns when this host began to own the slice, in milliseconds. */
    long takenMs() {
        return takenMs;
    }

    void takenMs(long value) {
        takenMs = value;
    }

    /** Removes a task that has ended or was never started from the tables. */
    void remove(PlacedTask task) {
        tasks.remove(task.id());
        stops.remove(task.id());
        links.get(task.worker()).tasks().remove(task.id());
    }

    /** Asks for the stop of a task, which is sent and repeated by the worker system. */
    void stop(PlacedTask task, StopMode mode) {
        task.stop(mode);
        stops.put(task.id(), task);
    }

    /** Returns the tasks to be stopped. */
    Collection<PlacedTask> stops() {
        return stops.values();
    }

    /** Returns what peers and operators are told of the slice. */
    SliceSummary summary() {
        PlacementSummary known = placement.summary();
        return new SliceSummary(
                id,
                fence,
                known.capacity(),
                known.reserved(),
                largestWorker(),
                known.waiting(),
                waitingDemand(),
                services);
    }

    private Resources waitingDemand() {
        Resources sum = Resources.empty();
        for (HomedJob job : jobs.values()) {
            int waiting = placement
                    .progress(job.id())
                    .map(JobProgress::waiting)
                    .orElse(job.row().spec().kind().tasks());
            sum = sum.plus(job.row().spec().demand().times(waiting));
        }
        return sum;
    }

    /** Returns the tasks that run or may run on the workers of the slice. */
    Map<AttemptId, PlacedTask> tasks() {
        return tasks;
    }

    /** Tells whether a task of a job runs or may run on a worker of the slice. */
    boolean runsAny(JobId job) {
        AttemptId first = tasks.ceilingKey(AttemptId.first(job));
        return first != null && first.task().job().equals(job);
    }

    /**
     * Returns what each workspace's waiting tasks need beyond its allotment; written each tick by the placement system.
     */
    Map<WorkspaceId, Resources> wanted() {
        return wanted;
    }

    private long majorityUntilMs(List<WorkerId> members) {
        List<Long> leases = new ArrayList<>();
        for (WorkerId member : members) {
            WorkerLink link = links.get(member);
            leases.add(link == null ? Times.NEVER_MS : link.leaseUntilMs());
        }
        leases.sort(Collections.reverseOrder());
        return leases.get(members.size() / 2);
    }
}
