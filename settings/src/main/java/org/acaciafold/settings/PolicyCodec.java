package org.acaciafold.settings;

import java.util.Optional;
import java.util.OptionalLong;

import org.acaciafold.core.placement.BatchPolicy;
import org.acaciafold.core.placement.GangPolicy;
import org.acaciafold.core.placement.ServicePolicy;

/** Parses and formats the policies of a workspace; each is a word with an optional parameter after a colon. */
final class PolicyCodec {
    private static final String SPREAD = "spread:";
    private static final String PACK = "pack";
    private static final String SUBMISSION_ORDER = "submission-order";
    private static final String DEADLINE_ORDER = "deadline-order:";
    private static final String RESERVE = "reserve:";
    private static final String WHEN_FREE = "when-free";
    private static final int MAX_PER_RACK = 1_000;
    private static final double MAX_SAFETY = 10;
    private static final long MAX_RESERVE_MS = 24 * 3_600_000L;

    private PolicyCodec() {}

    static Optional<BatchPolicy> batch(String text) {
        if (text.equals(SUBMISSION_ORDER)) {
            return Optional.of(new BatchPolicy.SubmissionOrder());
        }
        if (!text.matches(DEADLINE_ORDER + "[0-9]{1,2}(\\.[0-9]{1,6})?")) {
            return Optional.empty();
        }
        double safety = Double.parseDouble(text.substring(DEADLINE_ORDER.length()));
        return safety >= 1 && safety <= MAX_SAFETY
                ? Optional.of(new BatchPolicy.DeadlineOrder(safety))
                : Optional.empty();
    }

    static String format(BatchPolicy policy) {
        return switch (policy) {
            case BatchPolicy.SubmissionOrder ignored -> SUBMISSION_ORDER;
            case BatchPolicy.DeadlineOrder order -> DEADLINE_ORDER + order.safety();
        };
    }

    static String format(GangPolicy policy) {
        return switch (policy) {
            case GangPolicy.Reserve reserve -> RESERVE + Quantity.DURATION.format(reserve.afterMs());
            case GangPolicy.WhenFree ignored -> WHEN_FREE;
        };
    }

    static String format(ServicePolicy policy) {
        return switch (policy) {
            case ServicePolicy.Spread spread -> SPREAD + spread.perRack();
            case ServicePolicy.Pack ignored -> PACK;
        };
    }

    static Optional<GangPolicy> gang(String text) {
        if (text.equals(WHEN_FREE)) {
            return Optional.of(new GangPolicy.WhenFree());
        }
        if (!text.startsWith(RESERVE)) {
            return Optional.empty();
        }
        OptionalLong after = Quantity.DURATION.parse(text.substring(RESERVE.length()));
        return after.isPresent() && after.getAsLong() <= MAX_RESERVE_MS
                ? Optional.of(new GangPolicy.Reserve(after.getAsLong()))
                : Optional.empty();
    }

    static Optional<ServicePolicy> service(String text) {
        if (text.equals(PACK)) {
            return Optional.of(new ServicePolicy.Pack());
        }
        if (!text.matches(SPREAD + "[0-9]{1,4}")) {
            return Optional.empty();
        }
        int perRack = Integer.parseInt(text.substring(SPREAD.length()));
        return perRack >= 1 && perRack <= MAX_PER_RACK
                ? Optional.of(new ServicePolicy.Spread(perRack))
                : Optional.empty();
    }
}
