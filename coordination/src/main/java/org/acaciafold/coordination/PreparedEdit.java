package org.acaciafold.coordination;

import org.acaciafold.core.port.TableRequest;

/**
 * An edit whose resulting tree passed the check as a whole and that can be written.
 *
 * @param base the tree that the edit changes
 * @param head the head of the changed tree
 * @param edit the edit
 * @param changesLimit whether tasks may have to be stopped before the edit is in force
 * @param request the transaction
 */
record PreparedEdit(
        StoredTree base,
        SettingsRows.Head head,
        ClientCall.EditSettings edit,
        boolean changesLimit,
        TableRequest.Commit request) {
    /** Returns the changed tree after the transaction committed at a version. */
    StoredTree written(long version) {
        return base.changed(version, head, edit.subtree(), edit.text());
    }
}
