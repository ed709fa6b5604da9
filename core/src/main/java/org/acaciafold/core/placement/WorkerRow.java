package org.acaciafold.core.placement;

import java.util.ArrayList;
import java.util.List;

import org.acaciafold.core.model.Resources;

/** A worker in the table of workers. */
final class WorkerRow {
    final int slot;
    final List<AttemptRow> attempts = new ArrayList<>();
    WorkerSpec spec;
    WorkerState state;
    Resources used = Resources.empty();
    boolean removed;

    WorkerRow(int slot, WorkerSpec spec, WorkerState state) {
        this.slot = slot;
        this.spec = spec;
        this.state = state;
    }

    boolean accelerated() {
        return spec.capacity().accelerators() > 0;
    }

    Resources free() {
        return spec.capacity().minus(used);
    }

    boolean ready() {
        return state == WorkerState.READY && !removed;
    }
}
