package org.acaciafold.coordination;

import org.acaciafold.core.port.TableRequest;

/**
 * An edit whose result was checked as a whole and that can be written.
 *
 * @param base the tree it changes
 * @param head the head of the changed tree
 * @param edit the edit
 * @param changesLimit whether work may have to be stopped before it is in force
 * @param request the transaction
 */
record PreparedEdit(
        StoredTree base,
        SettingsRows.Head head,
        ClientCall.EditSettings edit,
        boolean changesLimit,
        TableRequest.Commit request) {
    /** Returns the changed tree once the transaction took effect. */
    StoredTree written(long version) {
        return base.changed(version, head, edit.subtree(), edit.text());
    }
}
