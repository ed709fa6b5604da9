package org.acaciafold.coordination;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.acaciafold.settings.SettingsTree;

/** The settings tree as stored in the table at one version; immutable. */
final class StoredTree {
    private static final StoredTree EMPTY = new StoredTree(0, Optional.empty(), Map.of());

    private final long version;
    private final Optional<SettingsRows.Head> head;
    private final Map<String, Subtree> subtrees;

    private StoredTree(long version, Optional<SettingsRows.Head> head, Map<String, Subtree> subtrees) {
        this.version = version;
        this.head = head;
        this.subtrees = subtrees;
    }

    static StoredTree empty() {
        return EMPTY;
    }

    static StoredTree of(long version, SettingsRows.Head head, Map<String, Subtree> subtrees) {
        return new StoredTree(version, Optional.of(head), new TreeMap<>(subtrees));
    }

    /** Returns the tree after one more change. */
    StoredTree changed(long newVersion, SettingsRows.Head newHead, String subtree, Optional<String> text) {
        Map<String, Subtree> next = new TreeMap<>(subtrees);
        text.ifPresentOrElse(value -> next.put(subtree, new Subtree(newVersion, value)), () -> next.remove(subtree));
        return new StoredTree(newVersion, Optional.of(newHead), next);
    }

    /** Returns the head of the tree after one more change. */
    SettingsRows.Head nextHead(String subtree, boolean removal) {
        return head.map(present -> present.next(version, subtree, removal))
                .orElseGet(() ->
                        new SettingsRows.Head(subtree, removal, List.of(new SettingsRows.Change(0, subtree, true))));
    }

    /** Returns the subtree at a path, empty if there is none. */
    Optional<Subtree> subtree(String path) {
        return Optional.ofNullable(subtrees.get(path));
    }

    /** Returns the subtrees by path. */
    Map<String, Subtree> subtrees() {
        return subtrees;
    }

    /** Returns the tree of the subtree texts, which is not checked yet. */
    SettingsTree texts() {
        Map<String, String> texts = new HashMap<>();
        subtrees.forEach((path, subtree) -> texts.put(path, subtree.text()));
        return SettingsTree.of(version, texts);
    }

    long version() {
        return version;
    }

    /**
     * The text of a subtree.
     *
     * @param version the version of the tree that last changed the subtree
     * @param text the text of the subtree in INI format
     */
    record Subtree(long version, String text) {}
}
