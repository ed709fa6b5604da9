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
    private final Map<WorkspaceId, Resources> missingAllotments = new TreeMap<>();
    private final Map<WorkerId, WorkerLink> links = new TreeMap<>();
    private final TreeMap<AttemptId, PlacedTask> tasks = new TreeMap<>();
    private final Map<AttemptId, PlacedTask> stops = new TreeMap<>();
    private final Map<JobId, HomedJob> jobs = new TreeMap<>();
    private final List<PendingEnd> unhandledEnds = new ArrayList<>();
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
    private long takenOverMs;
    private boolean scanned;
    private long scanRequests;
    private boolean reconciled;
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

    /** Returns the resources that each workspace may use in this slice; written by the allotment system. */
    Map<WorkspaceId, Resources> allotments() {
        return allotments;
    }

    /** Returns the time in milliseconds until which no other host can have taken over the slice. */
    long authorityUntilMs() {
        return authorityUntilMs;
    }

    /** Ends the suspension of the authority if the row was renewed by a request sent after the authority expired. */
    void resume(long renewalSentMs) {
        if (suspended && renewalSentMs >= suspendedSinceMs) {
            suspended = false;
        }
    }

    /**
     * Computes the authority from the control leases of the members.
     *
     * <p>Expired authority stays suspended until the row is renewed. An owner that was paused must not count leases
     * that workers granted again, because another host may have owned the slice in the meantime.
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
     * Returns whether all tasks of former owners have ended, even on workers that never answered this owner.
     *
     * <p>A former owner may have renewed leases until this owner first had authority.
     *
     * @param nowMs the time in milliseconds
     * @param config the durations of the leases
     * @return whether all those leases have expired
     */
    boolean formerOwnersExpired(long nowMs, HostConfig config) {
        long leasesMs = config.controlLeaseMs() + config.taskLeaseMs() + config.clockMarginMs();
        return everGranted && nowMs > firstAuthorityMs + leasesMs;
    }

    /** Returns when authority last ended or will end, in milliseconds; at least the time of the takeover. */
    long lastAuthorityMs() {
        return Math.max(lastAuthorityMs, takenOverMs);
    }

    Fence fence() {
        return fence;
    }

    /** Returns the highest fencing token with which a worker of the slice rejected this owner. */
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

    /** Returns whether a worker belongs to every set of members, so that any host in a takeover would contact it. */
    boolean isMemberOfEverySet(WorkerId worker) {
        return commonMembers.contains(worker);
    }

    /** Returns whether the row names this host as the owner, according to the last answer of the table. */
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

    /** Returns, for each resource, the largest amount of any worker that has reported its capacity. */
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
     * Computes the time until which a majority of each set of members certainly grants this owner its control lease.
     *
     * @return a time in milliseconds, {@link Times#NEVER_MS} if there are no members
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

    /** Returns the reported ends that the job system has not handled yet. */
    List<PendingEnd> unhandledEnds() {
        return unhandledEnds;
    }

    /** Adds a task to the tables. */
    void place(PlacedTask task) {
        tasks.put(task.id(), task);
        links.get(task.worker()).tasks().put(task.id(), task);
    }

    PlacementEngine placement() {
        return placement;
    }

    /** Returns the row as this host last read or wrote it. */
    SliceRow row() {
        return row;
    }

    long rowVersion() {
        return rowVersion;
    }

    void row(SliceRow value, long version, boolean ownedByRow) {
        row = value;
        rowVersion = version;
        holdsRow = ownedByRow;
        commonMembers = row.commonMembers();
    }

    /** Returns whether all jobs were read from the table since the takeover and the last requested scan. */
    boolean scanned() {
        return scanned;
    }

    /** Requests a new scan of the jobs; no exclusive task starts until it completes. */
    void requestScan() {
        scanned = false;
        scanRequests++;
    }

    /** Returns the number of requested scans, which shows whether a scan began after the last request. */
    long scanRequests() {
        return scanRequests;
    }

    void scanned(long requestsAtBegin) {
        scanned = scanRequests == requestsAtBegin;
    }

    /** Returns whether every member has reported its view to this owner. */
    boolean everyMemberReported() {
        for (WorkerId member : row.allMembers()) {
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

    /** Returns whether each member has reported its tasks or can no longer run any; written by the worker system. */
    boolean reconciled() {
        return reconciled;
    }

    void reconciled(boolean value) {
        reconciled = value;
    }

    /** Returns the time at which the last answered renewal of the row was sent, in milliseconds. */
    long tableContactMs() {
        return tableContactMs;
    }

    void tableContactMs(long value) {
        tableContactMs = Math.max(tableContactMs, value);
    }

    /** Returns the time at which this host took over the slice, in milliseconds. */
    long takenOverMs() {
        return takenOverMs;
    }

    void takenOverMs(long value) {
        takenOverMs = value;
    }

    /** Removes a task that has ended or was never started from the tables. */
    void remove(PlacedTask task) {
        tasks.remove(task.id());
        stops.remove(task.id());
        links.get(task.worker()).tasks().remove(task.id());
    }

    /** Requests the stop of a task; the worker system sends the command and repeats it. */
    void stop(PlacedTask task, StopMode mode) {
        task.stop(mode);
        stops.put(task.id(), task);
    }

    /** Returns the tasks to be stopped. */
    Collection<PlacedTask> stops() {
        return stops.values();
    }

    /** Returns the summary of the slice that peers and operators receive. */
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

    /** Returns whether a task of a job runs or may run on a worker of the slice. */
    boolean hasTaskOf(JobId job) {
        AttemptId first = tasks.ceilingKey(AttemptId.first(job));
        return first != null && first.task().job().equals(job);
    }

    /**
     * Returns the resources that the waiting tasks of each workspace need beyond its allotment; written in each tick by
     * the placement system.
     */
    Map<WorkspaceId, Resources> missingAllotments() {
        return missingAllotments;
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
