package org.acaciafold.entry;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class UnresolvedCreationsTest {
    private final UnresolvedCreations unresolved = new UnresolvedCreations();

    @Test
    void shouldContainAJobUntilItExistsOrTheTimeIsOver() {
        unresolved.add("a", 0);
        unresolved.add("b", 0);
        unresolved.created("b");

        assertTrue(unresolved.contains("a", UnresolvedCreations.RETAIN_MS - 1));
        assertFalse(unresolved.contains("a", UnresolvedCreations.RETAIN_MS));
        assertFalse(unresolved.contains("b", 1));
    }

    @Test
    void shouldDropTheOldestWhenThereAreTooMany() {
        for (int i = 0; i <= UnresolvedCreations.MAX_JOBS; i++) {
            unresolved.add("job-" + i, 0);
        }

        assertFalse(unresolved.contains("job-0", 1));
        assertTrue(unresolved.contains("job-1", 1));
    }
}
