package org.acaciafold.fleet.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
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

/** Distributes the calls for placement advice over the entry hosts, whose calls the advice service handles in turn. */
final class AdviceSystem {
    private static final Logger LOG = LoggerFactory.getLogger(AdviceSystem.class);

    /** Calls longer than this must leave some hosts free, so that urgent short calls never wait for a host. */
    private static final long LONG_CALL_MS = 200;

    /** Short calls of a host in flight: the service handles one while the next one is on its way there. */
    private static final int MAX_SHORT_CALLS = 2;

    /** The share of hosts that may make long calls at the same time. */
    private static final double LONG_CALL_SHARE = 0.75;

    /** One host in this many may ask again about denied workers at the same time. */
    private static final int HOSTS_PER_REVIEW = 4;

    /** Time after the expected duration at which a call is abandoned; the step may then request advice again. */
    private static final long RESPONSE_GRACE_MS = 1_000;

    /** How long before its end a ticket is no longer used, since it might expire on the way to the worker. */
    private static final long TICKET_MARGIN_MS = 150;

    private final Tables tables;
    private final Map<StepRow, List<String>> pendingRequests = new LinkedHashMap<>();
    private final Set<StepRow> pendingReviews = new HashSet<>();
    private final DenialVerification verification;
    private final Map<StepName, Call> callsInFlight = new HashMap<>();
    private final AbandonedCalls abandonedCalls = new AbandonedCalls();
    private final Map<String, GrantStatistics> statisticsByQueue = new HashMap<>();
    private final AdviceHosts hosts = new AdviceHosts();
    private CallSlots slots = CallSlots.NONE;

    AdviceSystem(Tables tables) {
        this.tables = tables;
        this.verification = new DenialVerification(tables);
    }

    void setHosts(List<String> names) {
        hosts.set(names);
    }

    /** Forgets the denials of workers that have left the registry, and verifies those of others. */
    void registryRead(Set<String> workers) {
        verification.registryRead();
        if (workers.isEmpty()) {
            return;
        }
        for (JobRow job : tables.active) {
            job.steps.forEach(step -> step.denied.keySet().removeIf(workers::contains));
        }
    }

    /** Returns the share of workers that advice has allowed so far on the queue of a step. */
    double allowedShare(StepRow step) {
        return statisticsByQueue
                .getOrDefault(step.job.job.route().name(), GrantStatistics.INITIAL)
                .allowedShare();
    }

    /** Returns how long a call for a step takes that asks about a number of workers. */
    long callMs(StepRow step, int workers) {
        return settings(step).callMs(workers);
    }

    /** Counts the hosts that can make a call in this tick. */
    void countFreeSlots() {
        int idle = idleHosts().size();
        slots = new CallSlots(idle + queueableHosts().size(), Math.min(idle, maxLongCalls() - longCalls()));
    }

    /** Returns whether a call for a step could be made in this tick, so that selecting workers for it is useful. */
    boolean canRequest(StepRow step) {
        return !step.adviceInFlight
                && tables.nowMs >= step.adviceAfterMs
                && slots.hasFree(isLong(settings(step).callMs(1)));
    }

    /** Requests advice in this tick; returns false when no host is free for a call about so many workers. */
    boolean request(StepRow step, List<String> workers) {
        if (workers.isEmpty() || !canRequest(step)) {
            return false;
        }
        boolean longCall = isLong(callMs(step, workers.size()));
        boolean free = slots.hasFree(longCall);
        if (free) {
            pendingRequests.put(step, workers);
            slots = slots.withCall(longCall);
        }
        return free;
    }

    /** Returns whether a call could be made in this tick that asks again about denied workers of a step. */
    boolean canReview(StepRow step) {
        long reviews = callsInFlight.values().stream()
                .filter(call -> call.step.reviewInFlight)
                .count();
        return reviews + pendingReviews.size() < Math.max(1, hosts.count() / HOSTS_PER_REVIEW)
                && !pendingRequests.containsKey(step)
                && !step.adviceInFlight
                && slots.hasFree(isLong(settings(step).callMs(1)));
    }

    /** Requests advice again about denied workers; the step may start tasks on others meanwhile. */
    boolean requestReview(StepRow step, List<String> workers) {
        boolean longCall = isLong(callMs(step, workers.size()));
        boolean free = slots.hasFree(longCall);
        if (free) {
            pendingRequests.put(step, workers);
            pendingReviews.add(step);
            slots = slots.withCall(longCall);
        }
        return free;
    }

    void run(List<Effect> effects) {
        abandonOverdueCalls();
        for (Map.Entry<StepRow, List<String>> request : pendingRequests.entrySet()) {
            StepRow step = request.getKey();
            AdviceSettings settings = settings(step);
            long callMs = settings.callMs(request.getValue().size());
            Optional<String> host = freeHost(callMs);
            if (host.isPresent()) {
                long abandonAtMs = tables.nowMs + callMs + RESPONSE_GRACE_MS;
                callsInFlight.put(
                        step.name(),
                        new Call(
                                step,
                                host.get(),
                                incarnations(request.getValue()),
                                tables.nowMs,
                                callMs,
                                settings.validMs(),
                                abandonAtMs));
                step.adviceInFlight = true;
                step.reviewInFlight = pendingReviews.contains(step);
                effects.add(new Effect.RequestAdvice(host.get(), step.name(), request.getValue(), callMs));
            }
        }
        pendingRequests.clear();
        pendingReviews.clear();
    }

    /**
     * Applies the response to an advice call.
     *
     * @param host the host that made the call
     * @param name the step
     * @param granted the grants; empty when the call failed
     */
    void answered(String host, StepName name, Optional<List<Grant>> granted) {
        Call call = callsInFlight.get(name);
        boolean sameHost = call != null && call.host.equals(host);
        boolean ambiguous = abandonedCalls.mayAnswer(name, host);
        if (!sameHost || !call.names(granted) || ambiguous && granted.isEmpty()) {
            abandonedCalls.answered(name, host);
            LOG.info("late advice ignored step={} host={} callInFlight={}", name, host, sameHost);
            return;
        }
        callsInFlight.remove(name);
        release(call);
        if (granted.isEmpty()) {
            call.step.callUnanswered = true;
            hosts.failed(host, tables.nowMs);
            LOG.warn("advice call failed step={} host={}", name, host);
            return;
        }
        hosts.answered(host);
        StepRow step = call.step;
        step.callUnanswered = false;
        if (!ambiguous) {
            recordStatistics(call, granted.get());
            step.allowed.keySet().removeAll(call.incarnations.keySet());
            deny(call, granted.get());
        } else {
            doubt(call);
        }
        long expiresAtMs = tables.nowMs + call.validMs - TICKET_MARGIN_MS;
        for (Grant grant : granted.get()) {
            long incarnation = call.incarnations.get(grant.worker());
            step.tickets.put(grant.worker(), new Ticket(grant.ticket(), expiresAtMs, incarnation));
            step.allowed.put(grant.worker(), incarnation);
            step.denied.remove(grant.worker());
        }
        LOG.info(
                "advice step={} host={} asked={} granted={} ambiguous={}",
                name,
                host,
                call.incarnations.size(),
                granted.get().size(),
                ambiguous);
    }

    /** Records the registered workers that an answer lacks. */
    private void deny(Call call, List<Grant> granted) {
        Set<String> denied = new HashSet<>(call.incarnations.keySet());
        granted.forEach(grant -> denied.remove(grant.worker()));
        denied.removeIf(worker -> !registered(worker));
        denied.forEach(worker -> call.step.denied.compute(
                worker, (id, before) -> Denial.of(call.incarnations.get(worker), tables.nowMs, before)));
        verification.answered(call.step, denied, call.askedAtMs);
    }

    /** Lets a step ask about other workers first after an answer that may belong to an earlier call. */
    private void doubt(Call call) {
        call.incarnations.forEach((worker, incarnation) -> {
            boolean allowed = incarnation.equals(call.step.allowed.get(worker));
            if (!allowed && registered(worker)) {
                Denial denial = Denial.of(incarnation, tables.nowMs, null).verified(false);
                call.step.denied.putIfAbsent(worker, denial);
            }
        });
    }

    /** Counts the requested and granted workers of which advice had not said anything before. */
    private void recordStatistics(Call call, List<Grant> granted) {
        Set<String> unknown = new HashSet<>();
        call.incarnations.forEach((worker, incarnation) -> {
            Denial denial = call.step.denied.get(worker);
            boolean denied = denial != null && denial.incarnation() == incarnation;
            if (!denied && !incarnation.equals(call.step.allowed.get(worker))) {
                unknown.add(worker);
            }
        });
        long allowed = granted.stream()
                .filter(grant -> unknown.contains(grant.worker()))
                .count();
        statisticsByQueue.compute(
                call.step.job.job.route().name(),
                (queue, statistics) ->
                        (statistics == null ? GrantStatistics.INITIAL : statistics).plus(unknown.size(), allowed));
    }

    /** Returns an idle host, or for a short call a host on which it waits for no more than another short call. */
    private Optional<String> freeHost(long callMs) {
        if (!isLong(callMs)) {
            return first(idleHosts()).or(() -> first(queueableHosts()));
        }
        return longCalls() < maxLongCalls() ? first(idleHosts()) : Optional.empty();
    }

    private static Optional<String> first(Set<String> hosts) {
        return hosts.stream().findFirst();
    }

    private Set<String> idleHosts() {
        Set<String> idle = hosts.usable(tables.nowMs);
        callsInFlight.values().forEach(call -> idle.remove(call.host));
        return idle;
    }

    private Set<String> queueableHosts() {
        Map<String, Integer> calls = new HashMap<>();
        for (Call call : callsInFlight.values()) {
            calls.merge(call.host, isLong(call.callMs) ? MAX_SHORT_CALLS : 1, Integer::sum);
        }
        Set<String> queueable = hosts.usable(tables.nowMs);
        queueable.removeIf(host -> calls.getOrDefault(host, MAX_SHORT_CALLS) >= MAX_SHORT_CALLS);
        return queueable;
    }

    private int longCalls() {
        int count = 0;
        for (Call call : callsInFlight.values()) {
            count += isLong(call.callMs) ? 1 : 0;
        }
        return count;
    }

    private int maxLongCalls() {
        return (int) Math.max(1, Math.floor(hosts.count() * LONG_CALL_SHARE));
    }

    private static boolean isLong(long callMs) {
        return callMs > LONG_CALL_MS;
    }

    private void abandonOverdueCalls() {
        abandonedCalls.expire(tables.nowMs);
        for (Call call : List.copyOf(callsInFlight.values())) {
            if (tables.nowMs > call.abandonAtMs || !hosts.contains(call.host)) {
                callsInFlight.remove(call.step.name());
                release(call);
                abandonedCalls.add(call.step.name(), call.host, tables.nowMs);
                call.step.callUnanswered = true;
                hosts.failed(call.host, tables.nowMs);
                LOG.warn("advice call abandoned step={} host={}", call.step.name(), call.host);
            }
        }
    }

    private static void release(Call call) {
        call.step.adviceInFlight = false;
        call.step.reviewInFlight = false;
        call.step.reserved.clear();
    }

    private boolean registered(String worker) {
        WorkerRow row = tables.workers.get(worker);
        return row != null && row.registered;
    }

    /** Returns the incarnations of workers, which an answer to a call that begins now is about. */
    private Map<String, Long> incarnations(List<String> workers) {
        Map<String, Long> incarnations = new HashMap<>();
        workers.forEach(worker -> incarnations.put(worker, tables.workers.get(worker).incarnation));
        return incarnations;
    }

    private static AdviceSettings settings(StepRow step) {
        return step.job.advice().orElseThrow();
    }

    /**
     * Counts the workers that advice was requested about, and those of them that it allowed.
     *
     * @param requested the number of workers requested
     * @param allowed the number of workers allowed
     */
    private record GrantStatistics(double requested, double allowed) {
        /** Assumes that half of the workers are allowed before the first responses, with the weight of a short call. */
        private static final GrantStatistics INITIAL = new GrantStatistics(10, 5);

        /** Lower bound of the share; a share near zero would request advice about all workers for a single task. */
        private static final double MIN_SHARE = 0.05;

        private GrantStatistics plus(double moreRequested, double moreAllowed) {
            return new GrantStatistics(requested + moreRequested, allowed + moreAllowed);
        }

        private double allowedShare() {
            return Math.max(MIN_SHARE, allowed / requested);
        }
    }

    /**
     * Counts the calls that can still be made in a tick.
     *
     * @param total the number of calls of any length
     * @param longCalls how many of them may be long
     */
    private record CallSlots(int total, int longCalls) {
        private static final CallSlots NONE = new CallSlots(0, 0);

        private boolean hasFree(boolean longCall) {
            return total > 0 && (!longCall || longCalls > 0);
        }

        private CallSlots withCall(boolean longCall) {
            return new CallSlots(total - 1, Math.min(total - 1, longCall ? longCalls - 1 : longCalls));
        }
    }

    private record Call(
            StepRow step,
            String host,
            Map<String, Long> incarnations,
            long askedAtMs,
            long callMs,
            long validMs,
            long abandonAtMs) {
        /** Returns whether the call names all granted workers, as its own answer does. */
        private boolean names(Optional<List<Grant>> granted) {
            return granted.stream().flatMap(List::stream).allMatch(grant -> incarnations.containsKey(grant.worker()));
        }
    }
}
