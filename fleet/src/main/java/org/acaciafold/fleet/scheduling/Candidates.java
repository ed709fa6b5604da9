package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.List;

import org.acaciafold.core.model.Resources;

/**
 * The workers of one kind in a tick, and the sizes that are known to fit on none of them.
 *
 * <p>Room only shrinks within a tick, so what has not fitted once fits no more, nor does anything larger:
 *
 * <pre>{@code
 * boolean looks = !candidates.knownFull(each) && candidates.fits(each);
 * }</pre>
 */
final class Candidates {
    private final List<Room> rooms;
    private final List<Resources> withoutRoom = new ArrayList<>();

    /** The most of each resource that any one worker had at the last look at all of them. */
    private Resources most = Resources.empty();

    private Candidates(List<Room> rooms) {
        this.rooms = rooms;
    }

    static Candidates of(List<Room> rooms) {
        Candidates candidates = new Candidates(rooms);
        rooms.forEach(room -> candidates.most = candidates.most.max(room.free()));
        return candidates;
    }

    List<Room> rooms() {
        return rooms;
    }

    /** Tells whether a size is known to fit nowhere, without a look at the workers. */
    boolean knownFull(Resources each) {
        if (!each.fitsIn(most)) {
            return true;
        }
        for (Resources smaller : withoutRoom) {
            if (smaller.fitsIn(each)) {
                return true;
            }
        }
        return false;
    }

    /** Looks at the workers for one with room for a task of a size. */
    boolean fits(Resources each) {
        Resources left = Resources.empty();
        for (Room room : rooms) {
            if (room.fits(each)) {
                return true;
            }
            left = left.max(room.free());
        }
        most = left;
        withoutRoom.removeIf(each::fitsIn);
        withoutRoom.add(each);
        return false;
    }
}
