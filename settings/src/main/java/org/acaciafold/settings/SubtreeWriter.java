package org.acaciafold.settings;

import java.util.Map;
import java.util.TreeMap;

import org.acaciafold.core.model.WorkspaceId;

/** Formats typed settings as the INI text of their subtree. */
final class SubtreeWriter {
    private final StringBuilder text = new StringBuilder();

    private SubtreeWriter() {}

    static String domain(DomainSettings domain) {
        return new SubtreeWriter()
                .section("domain")
                .value("taken-out", String.valueOf(domain.takenOut()))
                .value("slices", String.valueOf(domain.slices()))
                .toText();
    }

    static String openServices(Map<String, WorkspaceId> services) {
        SubtreeWriter writer = new SubtreeWriter().section("services");
        new TreeMap<>(services).forEach((service, workspace) -> writer.value(service, workspace.value()));
        return writer.toText();
    }

    static String workspace(WorkspaceSettings workspace) {
        SubtreeWriter writer = new SubtreeWriter()
                .section("workspace")
                .value("weight", String.valueOf(workspace.weight()))
                .value("limit-cpu", Quantity.PROCESSORS.format(workspace.limit().cpuMillis()))
                .value("limit-memory", Quantity.MEMORY.format(workspace.limit().memoryMib()))
                .value("limit-accelerators", String.valueOf(workspace.limit().accelerators()))
                .value("rehome-after", Quantity.DURATION.format(workspace.rehomeAfterMs()))
                .value("queue-limit", String.valueOf(workspace.queueLimit()))
                .section("keys");
        workspace.keys().forEach(key -> writer.value(key.id(), key.salt() + ":" + key.hash()));
        return writer.section("policy")
                .value("service", PolicyCodec.format(workspace.policies().service()))
                .value("batch", PolicyCodec.format(workspace.policies().batch()))
                .value("gang", PolicyCodec.format(workspace.policies().gang()))
                .toText();
    }

    private String toText() {
        return text.toString();
    }

    private SubtreeWriter section(String name) {
        text.append(text.isEmpty() ? "" : "\n").append('[').append(name).append("]\n");
        return this;
    }

    private SubtreeWriter value(String name, String value) {
        text.append(name).append(" = ").append(value).append('\n');
        return this;
    }
}
