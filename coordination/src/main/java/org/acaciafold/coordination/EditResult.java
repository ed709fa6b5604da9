package org.acaciafold.coordination;

import java.util.Optional;

/** How an edit of the settings ended. */
sealed interface EditResult {
    /**
     * The edit is durable.
     *
     * @param version the version of the tree that contains it
     * @param changesLimit whether work may have to be stopped before it is in force
     * @param tree the tree of that version, empty when an earlier attempt wrote it
     */
    record Written(long version, boolean changesLimit, Optional<StoredTree> tree) implements EditResult {}

    /**
     * Nothing was written, or it is not known whether anything was.
     *
     * @param reply the answer to the operator
     */
    record Refused(ClientReply reply) implements EditResult {}
}
