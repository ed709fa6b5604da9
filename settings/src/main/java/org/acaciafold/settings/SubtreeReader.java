package org.acaciafold.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.WorkspaceId;

/** Reads one subtree of the settings tree and collects the errors; {@link SettingsTree} combines the subtrees. */
final class SubtreeReader {
    private static final double MAX_WEIGHT = 1_000;
    private static final long MAX_CPU_MILLIS = 1_000_000_000L;
    private static final long MAX_MEMORY_MIB = 1L << 40;
    private static final long MAX_ACCELERATORS = 1_000_000;
    private static final long MIN_REHOME_MS = 1_000;
    private static final long MAX_REHOME_MS = 7 * 24 * 3_600_000L;
    private static final long MAX_QUEUE = 10_000;
    private static final long MAX_SLICES = 64;

    private final String subtree;
    private final List<SettingsProblem> problems;
    private final IniText ini;

    private SubtreeReader(String subtree, IniText ini, List<SettingsProblem> problems) {
        this.subtree = subtree;
        this.ini = ini;
        this.problems = problems;
    }

    static SubtreeReader of(String subtree, String text, List<SettingsProblem> problems) {
        return new SubtreeReader(subtree, IniText.parse(subtree, text, problems), problems);
    }

    /** Reads the subtree of a failure domain. */
    DomainSettings domain(DomainId domain) {
        SectionReader section = ini.section("domain");
        boolean takenOut = section.choice("taken-out", Map.of("true", true, "false", false), "false");
        int slices = (int) section.quantity("slices", Quantity.COUNT, 1, MAX_SLICES, "1");
        ini.finish();
        return new DomainSettings(domain, takenOut, slices);
    }

    /** Reads the services that are open to all callers. */
    Map<String, WorkspaceId> openServices() {
        Map<String, WorkspaceId> services = new TreeMap<>();
        ini.section("services").allValues().forEach((service, workspace) -> {
            if (SectionReader.validName(service) && SectionReader.validName(workspace.value())) {
                services.put(service, WorkspaceId.of(workspace.value()));
            } else {
                String message = service + ": not of the form SERVICE = WORKSPACE";
                problems.add(new SettingsProblem(subtree, workspace.line(), message));
            }
        });
        ini.finish();
        return services;
    }

    /** Reads the subtree of a workspace. */
    WorkspaceSettings workspace(WorkspaceId workspace) {
        SectionReader section = ini.section("workspace");
        double weight = section.number("weight", 0, MAX_WEIGHT, "1.0");
        Resources limit = Resources.of(
                section.quantity("limit-cpu", Quantity.PROCESSORS, 0, MAX_CPU_MILLIS),
                section.quantity("limit-memory", Quantity.MEMORY, 0, MAX_MEMORY_MIB),
                section.quantity("limit-accelerators", Quantity.COUNT, 0, MAX_ACCELERATORS, "0"));
        long rehomeAfterMs = section.quantity("rehome-after", Quantity.DURATION, MIN_REHOME_MS, MAX_REHOME_MS, "10min");
        int queueLimit = (int) section.quantity("queue-limit", Quantity.COUNT, 1, MAX_QUEUE, "100");
        List<KeyHash> keys = keys(ini.section("keys"));
        WorkspacePolicies policies = policies(ini.section("policy"));
        ini.finish();
        return new WorkspaceSettings(workspace, weight, limit, keys, rehomeAfterMs, queueLimit, policies);
    }

    private List<KeyHash> keys(SectionReader section) {
        List<KeyHash> keys = new ArrayList<>();
        section.allValues()
                .forEach((id, value) -> Keys.parseHash(id + ":" + value.value())
                        .ifPresentOrElse(
                                keys::add,
                                () -> section.reportProblem(id, "not of the form KEYID = SALT:HASH in hexadecimal")));
        return keys;
    }

    private static WorkspacePolicies policies(SectionReader section) {
        return new WorkspacePolicies(
                section.parsed("service", PolicyCodec::service, "spread:1 (or more), pack", "spread:2"),
                section.parsed(
                        "batch",
                        PolicyCodec::batch,
                        "submission-order, deadline-order:1.5 (1 to 10)",
                        "submission-order"),
                section.parsed("gang", PolicyCodec::gang, "reserve:30s (up to 24h), when-free", "reserve:30s"));
    }
}
