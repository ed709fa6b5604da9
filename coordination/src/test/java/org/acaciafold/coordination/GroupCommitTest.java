package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.Write;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class GroupCommitTest {
    private static final long RETRY_MS = 1_000;

    private final Outbox outbox = Outbox.of(1_000);
    private final GroupCommit commits = GroupCommit.empty();
    private final List<String> notifications = new ArrayList<>();
    private long nowMs;

    // -- tick

    @Test
    void shouldWriteChangesInOneTransactionWhenTheirRowsDiffer() {
        commits.add(new Change("a"));
        commits.add(new Change("b"));

        answer(send(), new TableReply.Committed(7));

        assertEquals(List.of("a committed 7", "b committed 7"), notifications);
        assertTrue(commits.idle());
    }

    @Test
    void shouldWriteSequentiallyWhenTwoChangesHaveTheSameRow() {
        commits.add(new Change("a"));
        commits.add(new Change("a"));

        Effect.CallTable first = send();
        assertEquals(1, ((TableRequest.Commit) first.request()).writes().size());
        assertTrue(outbox.drain().isEmpty());
        answer(first, new TableReply.Committed(7));

        assertFalse(commits.idle());
        answer(send(), new TableReply.Committed(8));
        assertTrue(commits.idle());
    }

    @Test
    void shouldResendTheOtherChangesWhenOneCheckFails() {
        commits.add(new Change("a"));
        commits.add(new Change("b"));

        answer(send(), new TableReply.Conflict(List.of(new Row("a", 3, new byte[0]))));
        answer(send(), new TableReply.Committed(9));

        assertEquals(List.of("a conflicted", "b committed 9"), notifications);
    }

    @Test
    void shouldResendTheSameChangesWhenNoReplyArrives() {
        commits.add(new Change("a"));

        Effect.CallTable first = send();
        answer(first, new TableReply.Unavailable("down"));
        Effect.CallTable second = send();

        assertEquals(first.request(), second.request());
        assertEquals(List.of("a unanswered"), notifications);
    }

    private void answer(Effect.CallTable call, TableReply reply) {
        outbox.deliver(call.call(), reply);
    }

    private Effect.CallTable send() {
        nowMs += RETRY_MS;
        commits.tick(nowMs, outbox);
        return (Effect.CallTable) outbox.drain().getFirst();
    }

    private final class Change implements TableWrite {
        private final String key;

        private Change(String key) {
            this.key = key;
        }

        @Override
        public List<Check> checks() {
            return List.of(new Check(key, 0));
        }

        @Override
        public void committed(long version) {
            notifications.add(key + " committed " + version);
        }

        @Override
        public void conflicted(Map<String, Row> current) {
            notifications.add(key + " conflicted");
        }

        @Override
        public void unanswered() {
            notifications.add(key + " unanswered");
        }

        @Override
        public List<Write> writes() {
            return List.of(new Write(key, Optional.empty()));
        }
    }
}
