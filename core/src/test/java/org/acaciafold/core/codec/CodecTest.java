package org.acaciafold.core.codec;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Outcome;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.model.TaskId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.WorkerCommand;
import org.acaciafold.core.port.WorkerReply;
import org.acaciafold.core.port.Write;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

class CodecTest {
    private static final JobSpec SPEC = JobSpec.builder(
                    JobId.of("j1"), WorkspaceId.of("north"), "ledger", new JobKind.Batch(3, OptionalLong.of(5)))
            .exclusive(true)
            .build();

    // -- decode

    static Stream<Arguments> messages() {
        Fence fence = Fence.of(4, 1);
        WorkerCommand start = new WorkerCommand.Start(fence, 9, TaskId.of(JobId.of("j1"), 2), 3, SPEC, 1_000);
        WorkerReply fenced = new WorkerReply.Fenced(fence, HostId.of("h1"), 20);
        return Stream.of(
                        codecs(start, WorkerCommand.class),
                        codecs(fenced, WorkerReply.class),
                        codecs(SPEC, JobSpec.class))
                .flatMap(stream -> stream);
    }

    @ParameterizedTest
    @MethodSource("messages")
    <T> void shouldReturnTheEncodedValueWhenItIsDecoded(Codec codec, T value, Class<T> type) throws Exception {
        byte[] bytes = codec.encode(value, type);

        assertEquals(value, codec.decode(bytes, type, Step.TABLE, "peer"));
    }

    @Test
    void shouldKeepBytesWhenTheyAreOptional() throws Exception {
        byte[] content = {0, -1, 7};
        TableRequest request = new TableRequest.Commit(List.of(), List.of(new Write("a", Optional.of(content))));

        byte[] bytes = Codec.json().encode(request, TableRequest.class);
        TableRequest decoded = Codec.json().decode(bytes, TableRequest.class, Step.TABLE, "peer");

        assertArrayEquals(
                content, ((TableRequest.Commit) decoded).writes().get(0).value().orElseThrow());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "null", "{", "[]", "{\"type\":\"Nothing\"}", "{}"})
    void shouldReportStepAndPeerWhenTheBytesAreMalformed(String text) {
        AcaciafoldException error = assertThrows(
                AcaciafoldException.class,
                () -> Codec.json().decode(text.getBytes(), WorkerCommand.class, Step.WORKER, "w1"));

        assertEquals(Step.WORKER, error.failure().step());
        assertEquals("w1", error.failure().peer());
        assertEquals(Outcome.NOT_RUN, error.failure().outcome());
    }

    private static <T> Stream<Arguments> codecs(T value, Class<T> type) {
        return Stream.of(Codec.json(), Codec.messagePack()).map(codec -> Arguments.of(codec, value, type));
    }
}
