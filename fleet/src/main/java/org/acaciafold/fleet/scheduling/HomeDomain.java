package org.acaciafold.fleet.scheduling;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Selects the failure domain in which the tasks of a step should run together.
 *
 * <p>A job that spans failure domains is delayed when any of them becomes unreachable. Jobs are spread over the domains
 * by a hash, so that each domain has its part of the jobs.
 *
 * <pre>{@code
 * Optional<String> home = HomeDomain.of(step, tasks.size(), candidates);
 * }</pre>
 */
final class HomeDomain {
    private HomeDomain() {}

    /**
     * Selects a domain.
     *
     * @param step the step
     * @param tasks how many of its tasks have no worker yet
     * @param candidates the workers that may run them
     * @return the first domain in the order of the job that fits all tasks, otherwise the one that fits most; empty when
     *     there are no candidates
     */
    static Optional<String> of(StepRow step, int tasks, List<FreeCapacity> candidates) {
        Map<String, Integer> vacancies = new TreeMap<>();
        for (FreeCapacity capacity : candidates) {
            int fits = Math.min(tasks, Placement.vacancies(step, capacity));
            vacancies.merge(capacity.entry.domain(), fits, Integer::sum);
        }
        int salt = step.job.job.id().hashCode();
        Comparator<Map.Entry<String, Integer>> mostFirst =
                Comparator.comparingInt(entry -> -Math.min(tasks, entry.getValue()));
        return vacancies.entrySet().stream()
                .min(mostFirst.thenComparingInt(
                        entry -> HashMixer.mix(salt ^ entry.getKey().hashCode())))
                .map(Map.Entry::getKey);
    }
}
