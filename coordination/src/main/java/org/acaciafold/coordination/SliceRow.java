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
 * The row of a slice: its owner and its members.
 *
 * <p>While a change of the members is not known to every entry host of the failure domain, the row holds the former
 * and the present set, and authority needs a majority of each.
 *
 * @param owner the owner, empty when the slice was released
 * @param incarnation the start of the owner
 * @param epoch raised by each takeover
 * @param renewal raised by each renewal
 * @param generation raised by each change of the members
 * @param memberSets the sets of workers of which a majority is needed, the present one last
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

    /** Returns the workers of the present set. */
    List<WorkerId> members() {
        return memberSets.isEmpty() ? List.of() : memberSets.getLast();
    }

    /** Returns the workers of all sets. */
    Set<WorkerId> everyMember() {
        Set<WorkerId> all = new TreeSet<>();
        memberSets.forEach(all::addAll);
        return all;
    }

    boolean isOwnedBy(HostConfig host) {
        return owner.equals(host.host().value()) && incarnation == host.incarnation();
    }

    /** Returns the workers that belong to each set. */
    Set<WorkerId> commonMembers() {
        Set<WorkerId> common = new HashSet<>(members());
        memberSets.forEach(set -> common.retainAll(new HashSet<>(set)));
        return common;
    }

    boolean isReleased() {
        return owner.isEmpty();
    }

    /** Returns the row with another set of members, which joins the present ones until it is known everywhere. */
    SliceRow withMembers(List<WorkerId> members) {
        List<List<WorkerId>> sets = new ArrayList<>(memberSets);
        sets.add(List.copyOf(members));
        return new SliceRow(owner, incarnation, epoch, renewal, generation + 1, sets);
    }

    /** Returns the row with only the present set of members. */
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
