package org.acaciafold.core.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.acaciafold.core.model.Resources;

/**
 * The queues whose first job did not fit, kept until room or allotment is freed.
 *
 * <p>Queues that wait for room are grouped by the power of two of their demand, so that freed room is compared with few
 * groups. A bounded number of queues of a group try again in each tick.
 */
final class BlockedQueues {
    private static final int RETRIES_PER_TICK = 16;

    private final Map<Resources, Group> byRoom = new LinkedHashMap<>();
    private final Map<TeamRow, Group> byTeam = new HashMap<>();
    private final List<Group> due = new ArrayList<>();
    private boolean muted;

    private static final class Group {
        final boolean forRoom;
        final Resources least;
        final Deque<ShapeQueue> queues = new ArrayDeque<>();
        int toRetry;

        Group(boolean forRoom, Resources least) {
            this.forRoom = forRoom;
            this.least = least;
        }
    }

    /** Ignores what is freed while a start is undone, which leaves no more room than there was before it. */
    void mute(boolean value) {
        muted = value;
    }

    /** Tells that a team holds less or may hold more than before. */
    void allotmentFreed(TeamRow team) {
        Group group = byTeam.get(team);
        if (group != null && !muted) {
            retryAll(group);
        }
    }

    /** Keeps a queue until its team may hold more. */
    void blockForAllotment(ShapeQueue queue) {
        byTeam.computeIfAbsent(queue.parent.team, team -> new Group(false, Resources.empty()))
                .queues
                .add(queue);
    }

    /** Keeps a queue until a worker has more room. */
    void blockForRoom(ShapeQueue queue, boolean retryNextTick) {
        Group group = byRoom.computeIfAbsent(floor(queue.demand), least -> new Group(true, least));
        if (!queue.listedForRoom) {
            queue.listedForRoom = true;
            group.queues.add(queue);
        }
        if (retryNextTick) {
            group.toRetry++;
            schedule(group);
        }
    }

    /** Tells how much a worker has free. */
    void roomFreed(Resources free) {
        if (muted) {
            return;
        }
        for (Group group : byRoom.values()) {
            if (group.toRetry < group.queues.size() && group.least.fitsIn(free)) {
                retryAll(group);
            }
        }
    }

    /** Lets queues for which room or allotment was freed try again. */
    void unblock() {
        List<Group> groups = new ArrayList<>(due);
        due.clear();
        for (Group group : groups) {
            unblockSome(group);
        }
    }

    private void unblockSome(Group group) {
        for (int i = 0; i < RETRIES_PER_TICK && group.toRetry > 0 && !group.queues.isEmpty(); i++) {
            group.toRetry--;
            ShapeQueue queue = group.queues.poll();
            unlist(group, queue);
            if (queue.blocked) {
                queue.parent.unblock(queue);
            }
        }
        if (group.queues.isEmpty()) {
            group.toRetry = 0;
        }
        if (group.toRetry > 0) {
            due.add(group);
        }
    }

    private void retryAll(Group group) {
        group.toRetry = group.queues.size();
        schedule(group);
    }

    private void schedule(Group group) {
        if (!due.contains(group)) {
            due.add(group);
        }
    }

    private static void unlist(Group group, ShapeQueue queue) {
        if (group.forRoom) {
            queue.listedForRoom = false;
        } else {
            queue.listedForAllotment = false;
        }
    }

    private static Resources floor(Resources demand) {
        return Resources.of(
                Long.highestOneBit(demand.cpuMillis()),
                Long.highestOneBit(demand.memoryMib()),
                Long.highestOneBit(demand.accelerators()));
    }
}
