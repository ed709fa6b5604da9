package org.acaciafold.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.placement.BatchPolicy;
import org.acaciafold.core.placement.GangPolicy;
import org.acaciafold.core.placement.ServicePolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.params.provider.Arguments.arguments;

class SettingsTreeTest {
    private static final String HASH = "0123456789abcdef".repeat(4);
    private static final String WORKSPACE = """
            [workspace]
            weight = 1.5
            limit-cpu = 64cores
            limit-memory = 256GiB
            limit-accelerators = 4
            rehome-after = 10min
            queue-limit = 100

            [keys]
            k1 = 00112233:%s

            [policy]
            service = spread:2
            batch = deadline-order:1.5
            gang = reserve:30s
            """.formatted(HASH);

    // -- check

    @Test
    void shouldReturnTypedSettingsWhenTheTreeIsValid() throws Exception {
        Map<String, String> texts = Map.of(
                "workspace/north",
                WORKSPACE,
                "domain/d1",
                "[domain]\ntaken-out = true\n",
                "open",
                "[services]\nx.y = north");

        FleetSettings settings = SettingsTree.of(7, texts).check();

        WorkspaceSettings workspace = new WorkspaceSettings(
                WorkspaceId.of("north"),
                1.5,
                Resources.of(64_000, 262_144, 4),
                List.of(new KeyHash("k1", "00112233", HASH)),
                600_000,
                100,
                new WorkspacePolicies(
                        new ServicePolicy.Spread(2),
                        new BatchPolicy.DeadlineOrder(1.5),
                        new GangPolicy.Reserve(30_000)));
        assertEquals(Optional.of(workspace), settings.workspace(WorkspaceId.of("north")));
        assertTrue(settings.takenOut(DomainId.of("d1")));
        assertEquals(Map.of("x.y", WorkspaceId.of("north")), settings.openServices());
        assertEquals(7, settings.version());
    }

    static Stream<Arguments> invalidValues() {
        return Stream.of(
                arguments("weight = 1.5", "weight = 0", 2, "number above 0"),
                arguments("weight = 1.5", "weight = -1", 2, "number above 0"),
                arguments("weight = 1.5", "weight = NaN", 2, "number above 0"),
                arguments("weight = 1.5", "wieght = 1.5", 2, "did you mean weight?"),
                arguments("64cores", "64", 3, "4cores or 500m"),
                arguments("64cores", "-64cores", 3, "4cores or 500m"),
                arguments("limit-cpu = 64cores", "", 1, "limit-cpu: missing"),
                arguments("256GiB", "256GB", 4, "512MiB, 8GiB or 2TiB"),
                arguments("limit-accelerators = 4", "limit-accelerators = 4cores", 5, "4, without a unit"),
                arguments("10min", "1ms", 6, "right is 1s to 168h"),
                arguments("queue-limit = 100", "queue-limit = 0", 7, "out of range"),
                arguments("k1 = 00112233", "k1 = 0011", 10, "KEYID = SALT:HASH"),
                arguments("spread:2", "spread:0", 13, "spread:1 (or more), pack"),
                arguments("deadline-order:1.5", "deadline-order:0.5", 14, "deadline-order:1.5 (1 to 10)"),
                arguments("reserve:30s", "reserve:30", 15, "reserve:30s (up to 24h)"),
                arguments("[policy]", "[policies]", 12, "did you mean policy?"));
    }

    @ParameterizedTest
    @MethodSource("invalidValues")
    void shouldReportSubtreeLineAndValidFormWhenAValueIsInvalid(
            String valid, String invalid, int line, String message) {
        assertTrue(WORKSPACE.contains(valid));

        SettingsException thrown = assertRejected(Map.of("workspace/north", WORKSPACE.replace(valid, invalid)));

        assertTrue(
                thrown.problems().stream()
                        .anyMatch(problem -> problem.file().equals("workspace/north")
                                && problem.line() == line
                                && problem.message().contains(message)),
                thrown::getMessage);
    }

    static Stream<Arguments> inconsistentTrees() {
        Map<String, String> manyWorkspaces = new HashMap<>();
        for (int i = 0; i < 7; i++) {
            manyWorkspaces.put(
                    "workspace/t" + i, WORKSPACE.replace("100", "10000").replace("k1", "k" + i));
        }
        return Stream.of(
                arguments(Map.of("workspace/a", WORKSPACE, "workspace/b", WORKSPACE), "key k1 belongs to workspace a"),
                arguments(Map.of("open", "[services]\nx = south"), "there is no workspace south"),
                arguments(Map.of("domain/d1", "[domain]\nslices = 65"), "right is 1 to 64"),
                arguments(Map.of("domain/d1", "[domain]\nslices = 0"), "right is 1 to 64"),
                arguments(Map.of("tema/a", WORKSPACE), "right is workspace/NAME, domain/NAME or open"),
                arguments(Map.of("workspace/a b", WORKSPACE), "right is workspace/NAME, domain/NAME or open"),
                arguments(manyWorkspaces, "add up to 70000"));
    }

    @ParameterizedTest
    @MethodSource("inconsistentTrees")
    void shouldRejectTheWholeTreeWhenItsPartsAreInconsistent(Map<String, String> texts, String message) {
        assertTrue(assertRejected(texts).getMessage().contains(message));
    }

    // -- of

    @Property(tries = 200, seed = "1")
    void shouldReturnTheSameTreeWhenItIsWrittenAndRead(@ForAll("trees") FleetSettings settings) throws Exception {
        SettingsTree tree = SettingsTree.of(settings);

        FleetSettings read = tree.check();

        assertEquals(settings, read);
        assertEquals(tree.texts(), SettingsTree.of(read).texts());
    }

    @Provide
    Arbitrary<FleetSettings> trees() {
        Arbitrary<DomainSettings> domain = Combinators.combine(
                        names(),
                        Arbitraries.of(true, false),
                        Arbitraries.integers().between(1, 64))
                .as((name, out, slices) -> new DomainSettings(DomainId.of(name), out, slices));
        return Combinators.combine(
                        Arbitraries.longs().between(0, Long.MAX_VALUE),
                        workspaces().list().ofMaxSize(4).uniqueElements(WorkspaceSettings::workspace),
                        domain.list().ofMaxSize(4).uniqueElements(DomainSettings::domain),
                        names().list().ofMaxSize(3).uniqueElements())
                .as(SettingsTreeTest::tree);
    }

    // -- SubtreeEdits

    @Test
    void shouldKeepEverythingElseWhenAKeyIsAddedAndWithdrawn() throws Exception {
        KeyHash key = new KeyHash("k2", "44556677", HASH);

        String added = SubtreeEdits.addKey(WORKSPACE, key);

        List<KeyHash> keys = SettingsTree.of(1, Map.of("workspace/a", added))
                .check()
                .workspaces()
                .get(WorkspaceId.of("a"))
                .keys();
        assertTrue(keys.contains(key));
        assertEquals(Optional.of(WORKSPACE), SubtreeEdits.withdrawKey(added, "k2"));
        assertEquals(Optional.empty(), SubtreeEdits.withdrawKey(WORKSPACE, "weight"));
    }

    @ParameterizedTest
    @MethodSource("domainTexts")
    void shouldChangeOnlyTakenOutWhenADomainIsTakenOut(String text, int slices) throws Exception {
        String out = SubtreeEdits.takeOut(text, true);
        String in = SubtreeEdits.takeOut(out, false);

        DomainId domain = DomainId.of("d1");
        assertEquals(new DomainSettings(domain, true, slices), domain(out));
        assertEquals(new DomainSettings(domain, false, slices), domain(in));
        assertEquals(text.contains("# note"), in.contains("# note"));
    }

    static Stream<Arguments> domainTexts() {
        return Stream.of(
                arguments("", 1),
                arguments("# note\n[domain]\nslices = 3\n", 3),
                arguments("[domain]\ntaken-out = false\nslices = 2", 2));
    }

    private static DomainSettings domain(String text) throws SettingsException {
        return SettingsTree.of(1, Map.of("domain/d1", text)).check().domains().get(DomainId.of("d1"));
    }

    private static Arbitrary<String> names() {
        return Arbitraries.strings()
                .withChars("abcXYZ019")
                .ofMinLength(1)
                .ofMaxLength(8)
                .map(name -> name.length() > 2 ? name.charAt(0) + "._-" + name.substring(1) : name);
    }

    private static SettingsException assertRejected(Map<String, String> texts) {
        return assertThrows(
                SettingsException.class, () -> SettingsTree.of(1, texts).check());
    }

    private static Arbitrary<WorkspaceSettings> workspaces() {
        Arbitrary<Resources> limits = Combinators.combine(
                        Arbitraries.longs().between(0, 1_000_000),
                        Arbitraries.longs().between(0, 1L << 40),
                        Arbitraries.longs().between(0, 1_000))
                .as(Resources::of);
        Arbitrary<WorkspacePolicies> policies = Combinators.combine(
                        Arbitraries.of(new ServicePolicy.Spread(3), new ServicePolicy.Pack()),
                        Arbitraries.of(new BatchPolicy.SubmissionOrder(), new BatchPolicy.DeadlineOrder(2.25)),
                        Arbitraries.of(new GangPolicy.Reserve(61_001), new GangPolicy.WhenFree()))
                .as(WorkspacePolicies::new);
        return Combinators.combine(
                        names(),
                        Arbitraries.doubles().between(0.01, 1_000).ofScale(2),
                        limits,
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.longs().between(1_000, 10_000_000),
                        Arbitraries.integers().between(1, 10_000),
                        policies)
                .as((name, weight, limit, keys, rehome, queue, policy) -> new WorkspaceSettings(
                        WorkspaceId.of(name), weight, limit, keys(name, keys), rehome, queue, policy));
    }

    private static List<KeyHash> keys(String workspace, int count) {
        return Stream.iterate(0, i -> i + 1)
                .limit(count)
                .map(i -> new KeyHash("k" + i + "-" + workspace.replace('.', '_'), "0011223344", HASH))
                .toList();
    }

    private static FleetSettings tree(
            long version, List<WorkspaceSettings> workspaces, List<DomainSettings> domains, List<String> services) {
        Map<WorkspaceId, WorkspaceSettings> byWorkspace = new HashMap<>();
        workspaces.forEach(workspace -> byWorkspace.put(workspace.workspace(), workspace));
        Map<DomainId, DomainSettings> byDomain = new HashMap<>();
        domains.forEach(domain -> byDomain.put(domain.domain(), domain));
        Map<String, WorkspaceId> open = new HashMap<>();
        services.forEach(service -> workspaces.forEach(workspace -> open.putIfAbsent(service, workspace.workspace())));
        return new FleetSettings(version, byWorkspace, byDomain, open);
    }

    // -- validSubtree

    @Test
    void shouldRejectAPathWhenItCouldReachOtherRows() {
        assertFalse(SettingsTree.validSubtree("workspace/../x"));
        assertFalse(SettingsTree.validSubtree("workspace/"));
        assertFalse(SettingsTree.validSubtree("workspace"));
        assertTrue(SettingsTree.validSubtree("workspace/a.b"));
    }
}
