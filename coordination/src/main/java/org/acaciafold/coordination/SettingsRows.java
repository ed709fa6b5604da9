package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.Write;

/** Defines the rows of the settings tree, of its edits and of the registered entry hosts, and their keys. */
final class SettingsRows {
    /** The row whose version is the version of the whole tree. */
    static final String HEAD = "settings-version";

    /** The prefix of the rows of the subtrees. */
    static final String SUBTREES = "settings/";

    /** The prefix of the registrations. */
    static final String HOSTS = "host/";

    /** The prefix of the edits that took effect. */
    static final String EDITS = "edit/";

    private static final int MAX_EARLIER_CHANGES = 16;

    private SettingsRows() {}

    static String edit(String editId) {
        return EDITS + editId;
    }

    static String host(HostId host) {
        return HOSTS + host;
    }

    static String subtree(String subtree) {
        return SUBTREES + subtree;
    }

    static <T> T decode(Row row, Class<T> type) throws AcaciafoldException {
        return Codec.json().decode(row.value(), type, Step.TABLE, row.key());
    }

    static <T> Write write(String key, T value, Class<T> type) {
        return new Write(key, Optional.of(Codec.json().encode(value, type)));
    }

    /**
     * A change of one subtree.
     *
     * @param version the version of the tree that the change made
     * @param subtree the path of the subtree
     * @param removed whether the subtree was removed
     */
    record Change(long version, String subtree, boolean removed) {}

    /**
     * An edit that took effect.
     *
     * @param digest a digest of the edit, by which another edit under the same identifier is rejected
     * @param changesLimit whether it changed the upper limit of a workspace or removed a workspace
     */
    record EditRow(String digest, boolean changesLimit) {}

    /**
     * The registration of an entry host.
     *
     * @param incarnation the incarnation of the host
     * @param domain the failure domain of the host
     * @param acknowledged the version of the settings in force at the host
     * @param limitsWithin the latest settings version at which the host observed all workspaces within their limits
     * @param gone whether another host of the domain has marked it as gone, so that edits do not wait for it
     */
    record HostRow(long incarnation, DomainId domain, long acknowledged, long limitsWithin, boolean gone) {
        /** Returns this row marked as that of a host that is gone. */
        HostRow asGone() {
            return new HostRow(incarnation, domain, acknowledged, limitsWithin, true);
        }
    }

    /**
     * The content of the head row, which lists the latest changes so that a host reads only the changed subtrees.
     *
     * @param subtree the subtree that this version changed
     * @param removed whether that subtree was removed
     * @param earlier the earlier changes, the latest first
     */
    record Head(String subtree, boolean removed, List<Change> earlier) {
        Head {
            earlier = List.copyOf(earlier);
        }

        /** Returns the changes after a known version, empty if some of them are no longer recorded in the head. */
        Optional<List<Change>> changesAfter(long known, long version) {
            boolean complete = earlier.stream().anyMatch(change -> change.version() <= known);
            return complete
                    ? Optional.of(lastChanges(version).stream()
                            .filter(change -> change.version() > known)
                            .toList())
                    : Optional.empty();
        }

        /** Returns the last recorded change of each subtree. */
        List<Change> lastChanges(long version) {
            Map<String, Change> changes = new LinkedHashMap<>();
            changes.put(subtree, new Change(version, subtree, removed));
            earlier.stream()
                    .filter(change -> change.version() > 0)
                    .forEach(change -> changes.putIfAbsent(change.subtree(), change));
            return List.copyOf(changes.values());
        }

        /** Returns the head after the next change. */
        Head next(long version, String changed, boolean removal) {
            List<Change> changes = new ArrayList<>();
            changes.add(new Change(version, subtree, removed));
            earlier.stream().limit(MAX_EARLIER_CHANGES - 1L).forEach(changes::add);
            return new Head(changed, removal, changes);
        }
    }

    /**
     * The row of a subtree.
     *
     * @param editId the identifier of the edit that wrote the row
     * @param text the text of the subtree in INI format
     */
    record SubtreeRow(String editId, String text) {}
}
