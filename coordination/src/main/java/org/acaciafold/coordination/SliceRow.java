package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.model.WorkerId;

/**
 * The row of a slice, which contains its owner and its members.
 *
 * <p>Until every entry host of the failure domain has read a change of the members, the row contains the former and the
 * current set, and authority requires a majority of each.
 *
 * @param owner the owner, empty if the slice was released
 * @param incarnation the incarnation of the owner
 * @param epoch a number that each takeover increments
 * @param renewal a number that each renewal increments
 * @param generation a number that each change of the members increments
 * @param memberSets the sets of workers, each of which requires a majority, the current set last
 */
record SliceRow(
        String owner, long incarnation, long epoch, long renewal, long generation, List<List<WorkerId>> memberSets) {
    private static final String PREFIX = "slice/";

    SliceRow {
        memberSets = List.copyOf(memberSets);
    }

    static String key(SliceId slice) {
        return PREFIX + slice.value();
    }

    static String prefix() {
        return PREFIX;
    }

    /** Returns the slice whose row has this key. */
    static SliceId slice(String key) {
        return SliceId.of(key.substring(PREFIX.length()));
    }

    /** Returns the workers of the current set. */
    List<WorkerId> members() {
        return memberSets.isEmpty() ? List.of() : memberSets.getLast();
    }

    /** Returns the workers of all sets. */
    Set<WorkerId> allMembers() {
        Set<WorkerId> all = new TreeSet<>();
        memberSets.forEach(all::addAll);
        return all;
    }

    boolean isOwnedBy(HostConfig host) {
        return owner.equals(host.host().value()) && incarnation == host.incarnation();
    }

    /** Returns the workers that belong to every set. */
    Set<WorkerId> commonMembers() {
        Set<WorkerId> common = new HashSet<>(members());
        memberSets.forEach(set -> common.retainAll(new HashSet<>(set)));
        return common;
    }

    boolean isReleased() {
        return owner.isEmpty();
    }

    /** Returns the row with a new set of members beside the former, which stays until all entry hosts have read it. */
    SliceRow withMembers(List<WorkerId> members) {
        List<List<WorkerId>> sets = new ArrayList<>(memberSets);
        sets.add(List.copyOf(members));
        return new SliceRow(owner, incarnation, epoch, renewal, generation + 1, sets);
    }

    /** Returns the row with only the current set of members. */
    SliceRow withoutFormerMembers() {
        return new SliceRow(owner, incarnation, epoch, renewal, generation, List.of(members()));
    }

    SliceRow released() {
        return new SliceRow("", 0, epoch, renewal + 1, generation, memberSets);
    }

    SliceRow renewed() {
        return new SliceRow(owner, incarnation, epoch, renewal + 1, generation, memberSets);
    }

    /** Returns the row after a takeover by a host. */
    SliceRow takenBy(HostId host, long newIncarnation) {
        return new SliceRow(host.value(), newIncarnation, epoch + 1, renewal + 1, generation, memberSets);
    }
}
