package org.acaciafold.fleet.scheduling;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.Grant;
import org.acaciafold.fleet.StepName;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Spreads the calls for placement advice over the entry hosts, each of which makes one call at a time. */
final class AdviceSystem {
    private static final Logger LOG = LoggerFactory.getLogger(AdviceSystem.class);

    /** Calls longer than this leave some hosts free, so that urgent short calls never wait for one. */
    private static final long LONG_CALL_MS = 200;

    /** The part of the hosts that may make long calls at once. */
    private static final double LONG_CALL_SHARE = 0.75;

    /** An answer later than this after the expected duration is given up; the same step is then asked again. */
    private static final long GRACE_MS = 1_000;

    /** A host whose call failed is not asked again for this long. */
    private static final long FAILED_HOST_PAUSE_MS = 1_000;

    /** A ticket is not used in its last moments, in which it might run out on the way to the worker. */
    private static final long TICKET_MARGIN_MS = 150;

    private final Tables tables;
    private final Map<StepRow, List<String>> wanted = new LinkedHashMap<>();
    private final Map<StepName, Call> calls = new HashMap<>();
    private final Map<String, Long> pausedUntilMs = new HashMap<>();
    private final Map<String, Granted> grantedByQueue = new HashMap<>();
    private final Set<String> hosts = new LinkedHashSet<>();
    private Slots slots = Slots.NONE;

    AdviceSystem(Tables tables) {
        this.tables = tables;
    }

    void hosts(List<String> names) {
        hosts.clear();
        hosts.addAll(names);
    }

    /** Returns the share of workers that advice allows on the queue of a step, by the answers so far. */
    double allowedShare(StepRow step) {
        return grantedByQueue
                .getOrDefault(step.job.job.route().name(), Granted.NONE)
                .share();
    }

    /** Counts the hosts that can make a call in this tick. */
    void prepare() {
        int free = freeHosts().size();
        slots = new Slots(free, Math.min(free, mostLongCalls() - longCalls()));
    }

    /** Tells whether a call about a step could be made in this tick, so that it is worth choosing workers for it. */
    boolean mayAsk(StepRow step) {
        return !step.adviceAsked
                && tables.nowMs >= step.adviceAfterMs
                && slots.free(isLong(settings(step).callMs(1)));
    }

    void request(StepRow step, List<String> workers) {
        if (mayAsk(step) && !workers.isEmpty()) {
            wanted.put(step, workers);
            slots = slots.taken(isLong(settings(step).callMs(workers.size())));
        }
    }

    void run(List<Effect> effects) {
        giveUpLateCalls();
        for (Map.Entry<StepRow, List<String>> request : wanted.entrySet()) {
            StepRow step = request.getKey();
            long callMs = settings(step).callMs(request.getValue().size());
            Optional<String> host = freeHost(callMs);
            if (host.isPresent()) {
                long giveUpAtMs = tables.nowMs + callMs + GRACE_MS;
                calls.put(step.name(), new Call(step, host.get(), request.getValue(), callMs, giveUpAtMs));
                step.adviceAsked = true;
                effects.add(new Effect.RequestAdvice(host.get(), step.name(), request.getValue(), callMs));
            }
        }
        wanted.clear();
    }

    /**
     * Takes an answer.
     *
     * @param host the host that made the call
     * @param name the step
     * @param granted the grants; empty when the call failed
     */
    void answered(String host, StepName name, Optional<List<Grant>> granted) {
        Call call = calls.get(name);
        if (call == null || !call.host.equals(host)) {
            return;
        }
        calls.remove(name);
        release(call);
        if (granted.isEmpty()) {
            pausedUntilMs.put(host, tables.nowMs + FAILED_HOST_PAUSE_MS);
            LOG.warn("advice failed step={} host={}", name, host);
            return;
        }
        StepRow step = call.step;
        learn(step, call.workers, granted.get());
        long expiresAtMs = tables.nowMs + settings(step).validMs() - TICKET_MARGIN_MS;
        step.denied.addAll(call.workers);
        for (Grant grant : granted.get()) {
            WorkerRow worker = tables.workers.get(grant.worker());
            long incarnation = worker == null ? 0 : worker.incarnation;
            step.tickets.put(grant.worker(), new Ticket(grant.ticket(), expiresAtMs, incarnation));
            step.allowed.add(grant.worker());
            step.denied.remove(grant.worker());
        }
        LOG.info(
                "advice step={} host={} asked={} granted={}",
                name,
                host,
                call.workers.size(),
                granted.get().size());
    }

    /** Counts grants for workers of which nothing was known. */
    private void learn(StepRow step, List<String> asked, List<Grant> granted) {
        long unknown =
                asked.stream().filter(worker -> !step.allowed.contains(worker)).count();
        long allowed = granted.stream()
                .filter(grant -> !step.allowed.contains(grant.worker()))
                .count();
        grantedByQueue.compute(
                step.job.job.route().name(),
                (queue, known) -> (known == null ? Granted.NONE : known).plus(unknown, allowed));
    }

    private Optional<String> freeHost(long callMs) {
        if (isLong(callMs) && longCalls() >= mostLongCalls()) {
            return Optional.empty();
        }
        return freeHosts().stream().findFirst();
    }

    private List<String> freeHosts() {
        Set<String> free = new LinkedHashSet<>(hosts);
        calls.values().forEach(call -> free.remove(call.host));
        free.removeIf(host -> tables.nowMs < pausedUntilMs.getOrDefault(host, Long.MIN_VALUE));
        return List.copyOf(free);
    }

    private int longCalls() {
        int count = 0;
        for (Call call : calls.values()) {
            count += isLong(call.callMs) ? 1 : 0;
        }
        return count;
    }

    private int mostLongCalls() {
        return (int) Math.max(1, Math.floor(hosts.size() * LONG_CALL_SHARE));
    }

    private static boolean isLong(long callMs) {
        return callMs > LONG_CALL_MS;
    }

    private void giveUpLateCalls() {
        for (Call call : List.copyOf(calls.values())) {
            if (tables.nowMs > call.giveUpAtMs || !hosts.contains(call.host)) {
                calls.remove(call.step.name());
                release(call);
                pausedUntilMs.put(call.host, tables.nowMs + FAILED_HOST_PAUSE_MS);
                LOG.warn("advice without an answer step={} host={}", call.step.name(), call.host);
            }
        }
    }

    private static void release(Call call) {
        call.step.adviceAsked = false;
        call.step.reserved.clear();
    }

    private static AdviceSettings settings(StepRow step) {
        return step.job.job.route().advice().orElseThrow();
    }

    /**
     * How many workers were asked about, and how many of them were allowed.
     *
     * @param asked the former
     * @param allowed the latter
     */
    private record Granted(double asked, double allowed) {
        /** Before the first answers, half of the workers are taken to be allowed, with the weight of a short call. */
        private static final Granted NONE = new Granted(10, 5);

        /** A share near zero would ask about all workers for a single task. */
        private static final double LEAST_SHARE = 0.05;

        private Granted plus(double moreAsked, double moreAllowed) {
            return new Granted(asked + moreAsked, allowed + moreAllowed);
        }

        private double share() {
            return Math.max(LEAST_SHARE, allowed / asked);
        }
    }

    /**
     * How many hosts can make a call in a tick.
     *
     * @param any how many calls of any length
     * @param longOnes how many long ones of these
     */
    private record Slots(int any, int longOnes) {
        private static final Slots NONE = new Slots(0, 0);

        private boolean free(boolean forLong) {
            return any > 0 && (!forLong || longOnes > 0);
        }

        private Slots taken(boolean byLong) {
            return new Slots(any - 1, Math.min(any - 1, byLong ? longOnes - 1 : longOnes));
        }
    }

    private record Call(StepRow step, String host, List<String> workers, long callMs, long giveUpAtMs) {}
}
