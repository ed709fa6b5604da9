package org.acaciafold.settings;

import java.util.Map;
import java.util.TreeMap;

import org.acaciafold.core.model.TeamId;

/** Writes typed settings as the text of their subtree. */
final class SubtreeWriter {
    private final StringBuilder text = new StringBuilder();

    private SubtreeWriter() {}

    static String domain(DomainSettings domain) {
        return new SubtreeWriter()
                .section("domain")
                .value("taken-out", String.valueOf(domain.takenOut()))
                .value("slices", String.valueOf(domain.slices()))
                .done();
    }

    static String open(Map<String, TeamId> services) {
        SubtreeWriter writer = new SubtreeWriter().section("services");
        new TreeMap<>(services).forEach((service, team) -> writer.value(service, team.value()));
        return writer.done();
    }

    static String team(TeamSettings team) {
        SubtreeWriter writer = new SubtreeWriter()
                .section("team")
                .value("weight", String.valueOf(team.weight()))
                .value("limit-cpu", Quantity.PROCESSORS.format(team.limit().cpuMillis()))
                .value("limit-memory", Quantity.MEMORY.format(team.limit().memoryMib()))
                .value("limit-accelerators", String.valueOf(team.limit().accelerators()))
                .value("rehome-after", Quantity.DURATION.format(team.rehomeAfterMs()))
                .value("queue-limit", String.valueOf(team.queueLimit()))
                .section("keys");
        team.keys().forEach(key -> writer.value(key.id(), key.salt() + ":" + key.hash()));
        return writer.section("policy")
                .value("service", Policies.format(team.policies().service()))
                .value("batch", Policies.format(team.policies().batch()))
                .value("gang", Policies.format(team.policies().gang()))
                .done();
    }

    private String done() {
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
