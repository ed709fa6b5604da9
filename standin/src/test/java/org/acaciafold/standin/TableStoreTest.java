package org.acaciafold.standin;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.Write;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

class TableStoreTest {
    private final TableStore table = TableStore.empty();

    // -- commit

    @Test
    void shouldWriteNothingWhenOneCheckFails() {
        commit(List.of(), "a", "b");
        TableReply reply = commit(List.of(new Check("a", 1), new Check("b", 9)), "a", "c");
        assertEquals(
                2, assertInstanceOf(TableReply.Conflict.class, reply).current().size());
        assertEquals(List.of("a", "b"), keys(new TableRequest.Scan("", "", 9)));
        assertEquals(1, commits());
    }

    @Test
    void shouldNotReuseVersionWhenRowWasDeleted() {
        commit(List.of(), "a");
        table.call(new TableRequest.Commit(List.of(), List.of(new Write("a", Optional.empty()))));
        assertEquals(new TableReply.Committed(3), commit(List.of(new Check("a", 0)), "a"));
    }

    // -- scan

    @ParameterizedTest
    @CsvSource({"'', 9, x/1 x/2 x/3", "x/1, 9, x/2 x/3", "'', 2, x/1 x/2", "x/3, 9, ''"})
    void shouldScanPrefixWhenGivenLastKey(String after, int limit, String expected) {
        commit(List.of(), "w", "x/1", "x/2", "x/3", "y");
        assertEquals(expected, String.join(" ", keys(new TableRequest.Scan("x/", after, limit))));
    }

    private TableReply commit(List<Check> checks, String... keys) {
        byte[] value = "v".getBytes(StandardCharsets.UTF_8);
        List<Write> writes = List.of(keys).stream()
                .map(key -> new Write(key, Optional.of(value)))
                .toList();
        return table.call(new TableRequest.Commit(checks, writes));
    }

    private long commits() {
        return table.commits();
    }

    private List<String> keys(TableRequest request) {
        TableReply.Rows rows = assertInstanceOf(TableReply.Rows.class, table.call(request));
        return rows.rows().stream().map(Row::key).toList();
    }
}
