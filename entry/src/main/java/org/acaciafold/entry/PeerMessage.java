package org.acaciafold.entry;

import java.util.List;
import java.util.Map;

import org.acaciafold.fleet.Grant;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.StepName;

/** What entry hosts tell each other. */
sealed interface PeerMessage {
    /**
     * A heartbeat of a host to the leader.
     *
     * @param host the host
     * @param address where its peers reach it
     * @param processors how many processors it has
     * @param sequence the last state change that it has seen in this term
     * @param stopping true when it is about to stop
     */
    record HostBeat(String host, String address, double processors, long sequence, boolean stopping)
            implements PeerMessage {}

    /**
     * A heartbeat of the leader to all hosts.
     *
     * @param lease the leader's lease
     * @param leaseVersion the version of its row after the last confirmed renewal
     * @param leaseAgeMs how long before this heartbeat that renewal was sent
     * @param sequence the last state change of this term
     * @param running true when the leader knows all jobs, so that the counts are right
     * @param pending the jobs of each queue of which no task has started
     * @param hosts the addresses of all hosts by name, in one heartbeat of several; else empty
     * @param largest the processors of the largest host that the leader hears
     */
    record LeaderBeat(
            LeaseRecord lease,
            long leaseVersion,
            long leaseAgeMs,
            long sequence,
            boolean running,
            Map<String, Integer> pending,
            Map<String, String> hosts,
            double largest)
            implements PeerMessage {}

    /**
     * Jobs that a host has just accepted.
     *
     * @param jobs the jobs, which are recorded
     */
    record Accepted(List<Job> jobs) implements PeerMessage {}

    /**
     * A job whose cancellation a host has just recorded.
     *
     * @param job the job
     */
    record Cancelled(String job) implements PeerMessage {}

    /**
     * New states of jobs.
     *
     * @param epoch the leader's term
     * @param sequence the number of this change in the term
     * @param whole true when these are the states of all jobs
     * @param states the states by job
     */
    record States(long epoch, long sequence, boolean whole, Map<String, JobState> states) implements PeerMessage {
        /** What a host has seen that has heard nothing of a term yet. */
        static final long NONE_SEEN = -1;

        /** The number of a message that is not one of the changes in order, and follows none. */
        static final long OUT_OF_ORDER = Long.MIN_VALUE;

        /** Tells whether a host that has seen changes up to the given number knows all up to this message. */
        boolean follows(long seen) {
            return whole || sequence == seen + 1;
        }
    }

    /**
     * Asks a host to make a call for placement advice.
     *
     * @param epoch the leader's term
     * @param step the step
     * @param workers the workers to ask about
     * @param timeoutMs how long the call may take
     */
    record AdviceWanted(long epoch, StepName step, List<String> workers, long timeoutMs) implements PeerMessage {}

    /**
     * The answer to a call for advice.
     *
     * @param epoch the leader's term
     * @param step the step
     * @param answered false when the call failed
     * @param grants the grants
     */
    record AdviceGiven(long epoch, StepName step, boolean answered, List<Grant> grants) implements PeerMessage {}

    /**
     * The leader cannot reach the store and asks who can.
     *
     * @param epoch the leader's term
     * @param address where to answer
     */
    record WhoReachesStore(long epoch, String address) implements PeerMessage {}

    /**
     * A host that reaches the store.
     *
     * @param epoch the term that was asked for
     * @param address where its peers reach it
     */
    record ReachesStore(long epoch, String address) implements PeerMessage {}

    /**
     * The leader has stopped commanding and gives its term to the receiver.
     *
     * @param epoch the term that has ended
     */
    record Handover(long epoch) implements PeerMessage {}
}
