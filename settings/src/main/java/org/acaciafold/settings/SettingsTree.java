package org.acaciafold.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.WorkspaceId;

/**
 * The settings tree as INI texts, one for each subtree.
 *
 * <p>Subtrees are {@code workspace/NAME}, {@code domain/NAME} and {@code open}. Example:
 * {@code SettingsTree.of(7, texts).check()}.
 */
public final class SettingsTree {
    /** The subtree of the services that are open to all callers. */
    public static final String OPEN = "open";

    private static final String WORKSPACE = "workspace/";
    private static final String DOMAIN = "domain/";
    private static final String SOURCE = "settings";
    private static final long MAX_TOTAL_QUEUE_LIMIT = 65_536;

    private final long version;
    private final Map<String, String> texts;

    private SettingsTree(long version, Map<String, String> texts) {
        this.version = version;
        this.texts = texts;
    }

    /**
     * Creates a tree from texts.
     *
     * @param version the version of the whole tree
     * @param texts the texts by subtree
     * @return the tree, not yet checked
     */
    public static SettingsTree of(long version, Map<String, String> texts) {
        return new SettingsTree(version, new TreeMap<>(texts));
    }

    /**
     * Formats typed settings as texts.
     *
     * @param settings the settings
     * @return a tree whose {@link #check()} returns these settings
     */
    public static SettingsTree of(FleetSettings settings) {
        Map<String, String> texts = new TreeMap<>();
        settings.workspaces()
                .forEach((workspace, value) -> texts.put(subtree(workspace), SubtreeWriter.workspace(value)));
        settings.domains().forEach((domain, value) -> texts.put(subtree(domain), SubtreeWriter.domain(value)));
        if (!settings.openServices().isEmpty()) {
            texts.put(OPEN, SubtreeWriter.openServices(settings.openServices()));
        }
        return new SettingsTree(settings.version(), texts);
    }

    /**
     * Returns the path of a failure domain's subtree.
     *
     * @param domain the failure domain
     * @return the path
     */
    public static String subtree(DomainId domain) {
        return DOMAIN + domain;
    }

    /**
     * Returns the path of a workspace's subtree.
     *
     * @param workspace the workspace
     * @return the path
     */
    public static String subtree(WorkspaceId workspace) {
        return WORKSPACE + workspace;
    }

    /**
     * Returns whether a path is a valid subtree path.
     *
     * @param subtree the path
     * @return true for {@code open}, {@code workspace/NAME} and {@code domain/NAME}
     */
    public static boolean validSubtree(String subtree) {
        if (subtree.equals(OPEN)) {
            return true;
        }
        int slash = subtree.indexOf('/') + 1;
        String kind = subtree.substring(0, slash);
        return (kind.equals(WORKSPACE) || kind.equals(DOMAIN)) && SectionReader.validName(subtree.substring(slash));
    }

    /**
     * Parses and validates the whole tree.
     *
     * @return the typed settings
     * @throws SettingsException if there are errors; it lists all of them
     */
    public FleetSettings check() throws SettingsException {
        List<SettingsProblem> problems = new ArrayList<>();
        Map<WorkspaceId, WorkspaceSettings> workspaces = new TreeMap<>();
        Map<DomainId, DomainSettings> domains = new TreeMap<>();
        Map<String, WorkspaceId> open = new TreeMap<>();
        texts.forEach((subtree, text) -> {
            if (!validSubtree(subtree)) {
                problems.add(
                        new SettingsProblem(subtree, 0, "not a subtree; right is workspace/NAME, domain/NAME or open"));
                return;
            }
            SubtreeReader reader = SubtreeReader.of(subtree, text, problems);
            if (subtree.startsWith(WORKSPACE)) {
                WorkspaceId workspace = WorkspaceId.of(subtree.substring(WORKSPACE.length()));
                workspaces.put(workspace, reader.workspace(workspace));
            } else if (subtree.startsWith(DOMAIN)) {
                DomainId domain = DomainId.of(subtree.substring(DOMAIN.length()));
                domains.put(domain, reader.domain(domain));
            } else {
                open.putAll(reader.openServices());
            }
        });
        checkKeys(workspaces, problems);
        checkQueues(workspaces, problems);
        checkOpen(open, workspaces, problems);
        if (!problems.isEmpty()) {
            throw new SettingsException(SOURCE, problems);
        }
        return new FleetSettings(version, workspaces, domains, open);
    }

    /**
     * Returns the texts by subtree.
     *
     * @return the texts
     */
    public Map<String, String> texts() {
        return Map.copyOf(texts);
    }

    /**
     * Returns the version of the whole tree.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Returns a copy of the tree with a new text for a subtree.
     *
     * @param subtree the path
     * @param text the new text
     * @return the changed tree
     */
    public SettingsTree with(String subtree, String text) {
        Map<String, String> changed = new TreeMap<>(texts);
        changed.put(subtree, text);
        return new SettingsTree(version, changed);
    }

    /**
     * Returns a copy of the tree without a subtree.
     *
     * @param subtree the path
     * @return the changed tree
     */
    public SettingsTree without(String subtree) {
        Map<String, String> changed = new TreeMap<>(texts);
        changed.remove(subtree);
        return new SettingsTree(version, changed);
    }

    private static void checkKeys(Map<WorkspaceId, WorkspaceSettings> workspaces, List<SettingsProblem> problems) {
        Map<String, WorkspaceId> owners = new HashMap<>();
        for (WorkspaceSettings workspace : workspaces.values()) {
            for (KeyHash key : workspace.keys()) {
                WorkspaceId owner = owners.putIfAbsent(key.id(), workspace.workspace());
                if (owner != null) {
                    String message = "key " + key.id() + " belongs to workspace " + owner + " already; create another";
                    problems.add(new SettingsProblem(subtree(workspace.workspace()), 0, message));
                }
            }
        }
    }

    private static void checkOpen(
            Map<String, WorkspaceId> open,
            Map<WorkspaceId, WorkspaceSettings> workspaces,
            List<SettingsProblem> problems) {
        open.forEach((service, workspace) -> {
            if (!workspaces.containsKey(workspace)) {
                String message =
                        service + ": there is no workspace " + workspace + "; create workspace/" + workspace + " first";
                problems.add(new SettingsProblem(OPEN, 0, message));
            }
        });
    }

    private static void checkQueues(Map<WorkspaceId, WorkspaceSettings> workspaces, List<SettingsProblem> problems) {
        long totalQueueLimit = workspaces.values().stream()
                .mapToLong(WorkspaceSettings::queueLimit)
                .sum();
        if (totalQueueLimit > MAX_TOTAL_QUEUE_LIMIT) {
            String message = "the queue limits of all workspaces add up to " + totalQueueLimit + "; lower them to "
                    + MAX_TOTAL_QUEUE_LIMIT + " or less";
            problems.add(new SettingsProblem(SOURCE, 0, message));
        }
    }
}
