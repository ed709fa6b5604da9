package org.acaciafold.fleet.fuzz;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Random;
import java.util.Set;

/** What the platform's contract allows the platform to do although a scheduler may not expect it. */
enum PlatformFault {
    /** Advice leaves out workers that have no entry in the registry when it answers. */
    ADVICE_BY_REGISTRY,
    /** Advice learns of workers that register, return or restart up to two seconds late. */
    LATE_ADVICE,
    /** Advice refuses some calls at once. */
    REFUSED_ADVICE,
    /** Advice answers some calls late, and later ones of the same host with them. */
    SLOW_ADVICE,
    /** Some answers lack some of the workers that the policy allows. */
    SHORT_ADVICE,
    /** Entries of live workers lapse one by one while the store is there, also between two reads. */
    LAPSED_ENTRIES,
    /** Entries of live workers cannot be read for a time. */
    UNREADABLE_ENTRIES,
    /** The registry counts as complete from a time after the last read that failed, not after the return of the store. */
    EARLY_READS,
    /** Some jobs have steps whose tasks fit a quarter of the workers only. */
    LARGE_STEPS,
    /** The policy of queues denies more workers now and then; no page says that it may, nor that it may not. */
    CHANGED_POLICY,
    /** Workers hold back the answers to renewals for as long as these allow, unless they have an end to tell. */
    WAITING_RENEWALS,
    /** Workers lose power for less than a second, with calls under way; some are lost for good or cut off soon after. */
    DARK_RESTARTS;

    /** Names the faults of all worlds, with commas between; by default each world draws its own. */
    private static final String NAMES = System.getProperty("acaciafold.fuzz.platform", "");

    /** Draws the faults of a seed's world from a source of their own, so that all else is drawn as without them. */
    static Set<PlatformFault> draw(long seed) {
        Set<PlatformFault> drawn = EnumSet.noneOf(PlatformFault.class);
        if (!NAMES.isEmpty()) {
            Arrays.stream(NAMES.split(",")).map(PlatformFault::valueOf).forEach(drawn::add);
            return drawn;
        }
        Random random = new Random(~seed);
        for (PlatformFault fault : values()) {
            if (random.nextBoolean() && fault != CHANGED_POLICY) {
                drawn.add(fault);
            }
        }
        return drawn;
    }
}
