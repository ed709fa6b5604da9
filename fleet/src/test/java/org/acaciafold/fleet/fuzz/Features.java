package org.acaciafold.fleet.fuzz;

import java.util.Random;
import java.util.Set;

/**
 * What the world of a seed has besides the usual jobs and faults.
 *
 * @param plain true when all jobs are small and end by themselves
 * @param hopelessGangs true when there are gangs that the workers can never hold
 * @param flood true when one workspace sends more than its part
 * @param bursts true when faults come together, with calm between; false when they come all the while
 * @param moves true when workers come back at other addresses
 * @param failing true when many jobs fail towards the end of the traffic
 * @param busyService true when tasks that last fill the larger one of the services
 * @param troubles true when troubles overlap in the first half of the traffic, with many workers and jobs of many steps
 * @param overload true when besides so many jobs come at once, within wide limits, that their calls for advice are short
 * @param platform what the platform does besides
 */
record Features(
        boolean plain,
        boolean hopelessGangs,
        boolean flood,
        boolean bursts,
        boolean moves,
        boolean failing,
        boolean busyService,
        boolean troubles,
        boolean overload,
        Set<PlatformFault> platform) {
    static Features draw(Random random, Set<PlatformFault> platform) {
        if (random.nextInt(5) == 0) {
            return new Features(true, false, false, false, false, false, false, false, false, platform);
        }
        return new Features(
                false,
                random.nextInt(3) == 0,
                random.nextInt(3) == 0,
                random.nextInt(3) > 0,
                random.nextInt(6) == 0,
                random.nextInt(4) == 0,
                random.nextInt(8) == 0,
                false,
                false,
                platform);
    }

    static Features overlappingTroubles(Random random, boolean overload, Set<PlatformFault> platform) {
        boolean flood = random.nextInt(3) == 0;
        boolean busyService = random.nextInt(6) == 0;
        return new Features(false, false, flood, true, false, false, busyService, true, overload, platform);
    }

    boolean largeSteps() {
        return platform.contains(PlatformFault.LARGE_STEPS);
    }

    String largerService() {
        return busyService ? Fleet.OTHER_SERVICE : Fleet.MAIN_SERVICE;
    }

    String smallerService() {
        return busyService ? Fleet.MAIN_SERVICE : Fleet.OTHER_SERVICE;
    }
}
