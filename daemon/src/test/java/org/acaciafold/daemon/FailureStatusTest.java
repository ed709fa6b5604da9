package org.acaciafold.daemon;

import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FailureStatusTest {
    // -- of

    @ParameterizedTest
    @CsvSource(textBlock = """
                    ADMISSION,     malformed,         400
                    AUTHORIZATION, wrong-key,         401
                    AUTHORIZATION, other-workspace,        403
                    ROUTING,       not-found,         404
                    SETTINGS,      unknown-edit,      404
                    SETTINGS,      edit-reused,       409
                    CLAIM,         key-reused,        409
                    ADMISSION,     too-long,          413
                    ADMISSION,     content-type,      415
                    SETTINGS,      invalid-settings,  422
                    ADMISSION,     queue-full,        429
                    WORKER,        worker-failed,     502
                    ROUTING,       no-owner,          503
                    TABLE,         table-unavailable, 503
                    WORKER,        deadline,          504
                    """)
    void shouldBeTheDocumentedStatus(Step step, String code, int status) {
        assertEquals(status, FailureStatus.of(Failure.notRun(step, "peer", code, "message")));
    }

    @ParameterizedTest
    @EnumSource(Step.class)
    void shouldBeAnErrorWhenTheCodeIsUnknown(Step step) {
        int status = FailureStatus.of(Failure.unknown(step, "peer", "a-code-of-tomorrow", "message"));

        assertTrue(status >= 400 && status < 600);
    }
}
