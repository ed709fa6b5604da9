package org.acaciafold.coordination;

import java.util.Optional;

/** The result of an edit of the settings. */
sealed interface EditResult {
    /**
     * The edit is durable.
     *
     * @param version the version of the tree that contains it
     * @param changesLimit whether tasks may have to be stopped before the edit is in force
     * @param tree the tree of that version, empty when an earlier attempt wrote it
     */
    record Written(long version, boolean changesLimit, Optional<StoredTree> tree) implements EditResult {}

    /**
     * Nothing was written, or it is not known whether anything was.
     *
     * @param reply the reply to the operator
     */
    record Refused(ClientReply reply) implements EditResult {}
}
