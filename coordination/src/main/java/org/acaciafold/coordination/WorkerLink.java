package org.acaciafold.coordination;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.placement.WorkerState;
import org.acaciafold.core.port.WorkerView;

/** The state that the owner of a slice stores for one of its workers; written by the worker system. */
final class WorkerLink {
    private final WorkerId worker;
    private final Map<Long, ReportedEnd> ends = new TreeMap<>();
    private final Map<AttemptId, PlacedTask> tasks = new TreeMap<>();
    private String address;
    private String requestAddress;
    private long leaseSequence;
    private long leaseUntilMs = Times.NEVER_MS;
    private long leaseEndedMs = Times.NEVER_MS;
    private long viewVersion;
    private WorkerView view;
    private boolean claimInFlight;
    private long nextClaimMs;
    private WorkerState state;
    private Resources placementCapacity = Resources.empty();

    private WorkerLink(WorkerId worker, String address, String requestAddress) {
        this.worker = worker;
        this.address = address;
        this.requestAddress = requestAddress;
    }

    static WorkerLink of(WorkerId worker, String address, String requestAddress) {
        return new WorkerLink(worker, address, requestAddress);
    }

    /** Returns the address at which the worker accepts commands. */
    String address() {
        return address;
    }

    void addresses(String commands, String requests) {
        address = commands;
        requestAddress = requests;
    }

    void claimInFlight(boolean value) {
        claimInFlight = value;
    }

    boolean claimInFlight() {
        return claimInFlight;
    }

    void claimed(long sequence, long untilMs, long endedMs) {
        leaseSequence = sequence;
        leaseUntilMs = untilMs;
        leaseEndedMs = endedMs;
    }

    /** Returns the ends that the worker has reported and this owner has not acknowledged yet, by their number. */
    Map<Long, ReportedEnd> ends() {
        return ends;
    }

    boolean hasLease(long nowMs) {
        return nowMs < leaseUntilMs;
    }

    /** Returns the time after which the last known control lease has certainly ended at the worker, in milliseconds. */
    long leaseEndedMs() {
        return leaseEndedMs;
    }

    /** Returns the sequence of the control lease that the worker last granted, 0 if there is none. */
    long leaseSequence() {
        return leaseSequence;
    }

    /** Returns the time until which the control lease is certainly valid, counted from when its request was sent. */
    long leaseUntilMs() {
        return leaseUntilMs;
    }

    /** Stops the use of the control lease, for example after the worker has answered with a higher fencing token. */
    void loseLease() {
        leaseUntilMs = Times.NEVER_MS;
    }

    long nextClaimMs() {
        return nextClaimMs;
    }

    void nextClaimMs(long value) {
        nextClaimMs = value;
    }

    /** Returns the address at which the worker accepts live requests. */
    String requestAddress() {
        return requestAddress;
    }

    /** Returns the worker state that was last passed to placement, empty if there is none. */
    Optional<WorkerState> state() {
        return Optional.ofNullable(state);
    }

    /** Records the state and the capacity that were passed to placement. */
    void recordPlacementState(WorkerState value, Resources capacity) {
        state = value;
        placementCapacity = capacity;
    }

    Resources placementCapacity() {
        return placementCapacity;
    }

    /** Returns the tasks that run or may run on the worker; written by {@link OwnedSlice}. */
    Map<AttemptId, PlacedTask> tasks() {
        return tasks;
    }

    /** Returns the last view, empty while the worker has not answered this owner. */
    Optional<WorkerView> view() {
        return Optional.ofNullable(view);
    }

    void view(WorkerView value, long version) {
        view = value;
        viewVersion = version;
    }

    long viewVersion() {
        return viewVersion;
    }

    WorkerId worker() {
        return worker;
    }
}
