package org.acaciafold.standin;

import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.acaciafold.core.model.AcaciafoldException;

/**
 * Runs the calls of {@code bin/demo} as caller and as operator.
 *
 * <p>Creates two workspaces with keys. In each workspace it submits two services, a batch job and a gang, and sends
 * live requests through every entry host, including those outside the failure domain of the worker.
 */
final class Demo {
    private static final long WAIT_MS = 60_000;
    private static final long POLL_MS = 50;
    private static final int TIMED_REQUESTS = 500;
    private static final List<String> WORKSPACES = List.of("catalogue", "booking");
    private static final String WORKSPACE_SETTINGS = """
            [workspace]
            weight = 1
            limit-cpu = 96cores
            limit-memory = 256GiB
            limit-accelerators = 0
            rehome-after = 10min
            queue-limit = 256
            """;

    private final DemoHttp http = new DemoHttp();
    private final List<Host> hosts = new ArrayList<>();
    private final Map<String, String> keys = new HashMap<>();
    private final Map<String, String> jobs = new HashMap<>();
    private final String operatorKey;
    private int incorrectAnswers;

    private Demo(StandinSettings settings) throws AcaciafoldException {
        operatorKey = settings.requiredText("operator-key");
        for (String domain : settings.requiredText("domains").split("\\s+")) {
            String[] addresses = settings.requiredText(domain).split("\\s+");
            hosts.add(new Host(domain, addresses[0], addresses[1]));
        }
    }

    /**
     * Runs the demo.
     *
     * @param settings the section {@code [demo]}: {@code operator-key}, {@code domains}, and for each failure
     *     domain the addresses of an entry host for callers and for operators
     * @return the number of incorrect answers
     * @throws AcaciafoldException when the settings are wrong
     * @throws IOException when an entry host does not answer or a condition is not met in time
     * @throws InterruptedException when interrupted
     */
    static int run(StandinSettings settings) throws AcaciafoldException, IOException, InterruptedException {
        Demo demo = new Demo(settings);
        demo.awaitHosts();
        demo.createWorkspaces();
        demo.submitJobs();
        for (String workspace : WORKSPACES) {
            demo.callService(workspace);
            demo.checkIdempotency(workspace);
        }
        demo.checkRefusals();
        demo.awaitJobs();
        demo.measureLatency(WORKSPACES.getFirst());
        return demo.incorrectAnswers;
    }

    private void awaitHosts() throws IOException, InterruptedException {
        for (Host host : hosts) {
            await("entry host of " + host.domain(), () -> status("GET", host.operators(), "/readyz", Map.of()) == 200);
        }
    }

    private void createWorkspaces() throws IOException, InterruptedException {
        Host host = hosts.getFirst();
        for (String workspace : WORKSPACES) {
            Map<String, String> headers = operator();
            headers.put("If-Match", "0");
            headers.put("Content-Type", "text/plain");
            DemoHttp.Reply settingsReply = http.send(
                    "PUT", host.operators(), "/v1/settings/workspace/" + workspace, headers, WORKSPACE_SETTINGS);
            check("settings of workspace " + workspace, settingsReply.status() == 202, settingsReply);
            awaitAccepted(host, settingsReply.json().path("editId").asText());
            DemoHttp.Reply key =
                    http.send("POST", host.operators(), "/v1/workspaces/" + workspace + "/keys", operator(), "");
            check("key of workspace " + workspace, key.status() == 201, key);
            keys.put(workspace, key.json().path("key").asText());
            awaitKeyAccepted(workspace);
        }
    }

    private void awaitAccepted(Host host, String edit) throws IOException, InterruptedException {
        long startMs = System.nanoTime() / 1_000_000;
        await(
                "edit " + edit,
                () -> http.send("GET", host.operators(), "/v1/edits/" + edit, operator(), "")
                        .json()
                        .path("accepted")
                        .asBoolean());
        System.out.println("    in force on all hosts after " + (System.nanoTime() / 1_000_000 - startMs) + " ms");
    }

    private void awaitKeyAccepted(String workspace) throws IOException, InterruptedException {
        for (Host host : hosts) {
            await(
                    "key of " + workspace,
                    () -> status("GET", host.callers(), "/v1/jobs/none", caller(workspace)) != 401);
        }
    }

    private void submitJobs() throws IOException, InterruptedException {
        for (String workspace : WORKSPACES) {
            Host host = hosts.get(WORKSPACES.indexOf(workspace));
            submit(host, workspace, "desk", "{\"type\":\"Service\",\"tasks\":1}", "hold");
            submit(host, workspace, "nightly", "{\"type\":\"Batch\",\"tasks\":4,\"finishWithinMs\":60000}", "run=300");
            submit(host, workspace, "rebuild", "{\"type\":\"Gang\",\"tasks\":3}", "run=300");
        }
        for (String workspace : WORKSPACES) {
            Host host = hosts.get(WORKSPACES.indexOf(workspace));
            submit(host, workspace, "echo", "{\"type\":\"Service\",\"tasks\":1}", "");
        }
    }

    private void submit(Host host, String workspace, String name, String kind, String payload)
            throws IOException, InterruptedException {
        String job = "{\"name\":\"" + name + "\",\"kind\":" + kind
                + ",\"demand\":{\"cpuMillis\":1000,\"memoryMib\":256,\"accelerators\":0}"
                + ",\"priority\":\"NORMAL\",\"exclusive\":false,\"runTimeMs\":1000,\"payload\":\"" + payload + "\"}";
        Map<String, String> headers = caller(workspace);
        headers.put("Content-Type", "application/json");
        DemoHttp.Reply reply = http.send("POST", host.callers(), "/v1/jobs", headers, job);
        check(workspace + " submits " + name, reply.status() == 202, reply);
        jobs.put(workspace + "/" + name, reply.json().path("job").asText());
    }

    private void callService(String workspace) throws IOException, InterruptedException {
        String path = "/v1/services/echo/greeting";
        for (Host host : hosts) {
            await(
                    workspace + " echo",
                    () -> http.send("POST", host.callers(), path, caller(workspace), "ready?")
                                    .status()
                            == 200);
            String text = "hello from " + host.domain();
            DemoHttp.Reply reply = http.send("POST", host.callers(), path, caller(workspace), text);
            String route = workspace + " calls echo through " + host.domain() + ", answered by " + reply.worker();
            check(route, reply.status() == 200 && reply.body().equals(text), reply);
        }
    }

    private void checkIdempotency(String workspace) throws IOException, InterruptedException {
        String path = "/v1/services/desk/holds";
        await(workspace + " desk", () -> status("GET", hosts.getFirst().callers(), path, caller(workspace)) == 200);
        Map<String, String> headers = caller(workspace);
        headers.put("Idempotency-Key", "hold-1");
        String expected = "{\"key\":\"hold-1\",\"execution\":1}";
        for (Host host : hosts) {
            String description = workspace + " sends the same hold through " + host.domain();
            DemoHttp.Reply reply = http.send("POST", host.callers(), path, headers, "lamp 7");
            check(description, reply.status() == 200 && reply.body().equals(expected), reply);
        }
    }

    private void checkRefusals() throws IOException, InterruptedException {
        Host host = hosts.getFirst();
        DemoHttp.Reply withoutKey = http.send("POST", host.callers(), "/v1/services/echo/", Map.of(), "x");
        check(
                "a call without a key is rejected",
                withoutKey.status() == 401 && withoutKey.outcome().equals("not-run"),
                withoutKey);
        Map<String, String> forged = Map.of("Authorization", "Bearer nobody.secret");
        DemoHttp.Reply wrongKey = http.send("GET", host.callers(), "/v1/jobs/none", forged, "");
        check("a call with an invalid key is rejected", wrongKey.status() == 401, wrongKey);
    }

    private void awaitJobs() throws IOException, InterruptedException {
        for (String workspace : WORKSPACES) {
            Host host = hosts.getLast();
            for (String name : List.of("nightly", "rebuild")) {
                String path = "/v1/jobs/" + jobs.get(workspace + "/" + name);
                await(
                        workspace + " " + name,
                        () -> !phase(host, workspace, path).matches("WAITING|RUNNING|"));
                DemoHttp.Reply result = http.send("GET", host.callers(), path + "/result", caller(workspace), "");
                String description = workspace + "'s " + name + " succeeded, queried through " + host.domain();
                check(description, result.json().path("phase").asText().equals("SUCCEEDED"), result);
            }
        }
    }

    private void measureLatency(String workspace) throws IOException, InterruptedException {
        String path = "/v1/services/echo/timed";
        for (Host host : hosts) {
            String worker = http.send("POST", host.callers(), path, caller(workspace), "where")
                    .worker();
            if (worker.startsWith(host.domain())) {
                continue;
            }
            long[] latencyMicros = new long[TIMED_REQUESTS];
            for (int index = 0; index < TIMED_REQUESTS; index++) {
                long start = System.nanoTime();
                DemoHttp.Reply reply = http.send("POST", host.callers(), path, caller(workspace), "x" + index);
                latencyMicros[index] = (System.nanoTime() - start) / 1_000;
                if (!reply.body().equals("x" + index)) {
                    check("timed request", false, reply);
                }
            }
            Arrays.sort(latencyMicros);
            System.out.printf(
                    "%d sequential live requests, caller > entry host of %s > owner > %s: p50 %.2f ms, p99 %.2f ms%n",
                    TIMED_REQUESTS,
                    host.domain(),
                    worker,
                    latencyMicros[TIMED_REQUESTS / 2] / 1_000.0,
                    latencyMicros[TIMED_REQUESTS * 99 / 100] / 1_000.0);
            return;
        }
        System.out.println("WRONG  no entry host is outside the failure domain of the worker");
        incorrectAnswers++;
    }

    private String phase(Host host, String workspace, String path) throws IOException, InterruptedException {
        return http.send("GET", host.callers(), path, caller(workspace), "")
                .json()
                .path("phase")
                .asText();
    }

    private int status(String method, String address, String path, Map<String, String> headers)
            throws IOException, InterruptedException {
        return http.send(method, address, path, headers, "").status();
    }

    private Map<String, String> caller(String workspace) {
        return new HashMap<>(Map.of("Authorization", "Bearer " + keys.get(workspace)));
    }

    private Map<String, String> operator() {
        return new HashMap<>(Map.of("Authorization", "Bearer " + operatorKey));
    }

    private void check(String description, boolean correct, DemoHttp.Reply reply) {
        System.out.println((correct ? "ok     " : "WRONG  ") + description);
        if (!correct) {
            incorrectAnswers++;
            System.out.println("       " + reply);
        }
    }

    private static void await(String description, Condition condition) throws IOException, InterruptedException {
        long deadlineMs = System.nanoTime() / 1_000_000 + WAIT_MS;
        while (System.nanoTime() / 1_000_000 < deadlineMs) {
            try {
                if (condition.isMet()) {
                    return;
                }
            } catch (ConnectException e) {
                // the host does not listen yet: retry after POLL_MS
            }
            Thread.sleep(POLL_MS);
        }
        throw new IOException("timed out after " + WAIT_MS + " ms waiting for: " + description);
    }

    /** A condition that the demo polls until it is met. */
    @FunctionalInterface
    private interface Condition {
        boolean isMet() throws IOException, InterruptedException;
    }

    /** An entry host: its failure domain and its addresses for callers and operators. */
    private record Host(String domain, String callers, String operators) {}
}
