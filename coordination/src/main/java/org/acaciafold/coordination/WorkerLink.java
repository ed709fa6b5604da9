package org.acaciafold.coordination;

import java.util.Optional;

import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.port.WorkerView;

/** What the owner of a slice knows of one of its workers; written by the worker system. */
final class WorkerLink {
    private final WorkerId worker;
    private String address;
    private String requestAddress;
    private long leaseSequence;
    private long leaseUntilMs;
    private long viewVersion;
    private WorkerView view;

    private WorkerLink(WorkerId worker, String address, String requestAddress) {
        this.worker = worker;
        this.address = address;
        this.requestAddress = requestAddress;
    }

    static WorkerLink of(WorkerId worker, String address, String requestAddress) {
        return new WorkerLink(worker, address, requestAddress);
    }

    /** Returns where the worker takes commands. */
    String address() {
        return address;
    }

    void addresses(String commands, String requests) {
        address = commands;
        requestAddress = requests;
    }

    void claimed(long sequence, long untilMs) {
        leaseSequence = sequence;
        leaseUntilMs = untilMs;
    }

    /** Returns the sequence of the control lease that the worker granted last, 0 for none. */
    long leaseSequence() {
        return leaseSequence;
    }

    /** Returns until when the control lease is certainly valid, counted from before its request was sent. */
    long leaseUntilMs() {
        return leaseUntilMs;
    }

    /** Returns where the worker takes live requests. */
    String requestAddress() {
        return requestAddress;
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
