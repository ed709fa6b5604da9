package org.acaciafold.entry;

import java.util.List;
import java.util.Map;

import org.acaciafold.fleet.Grant;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.StepName;

/** What entry hosts tell each other. */
sealed interface PeerMessage {
    /** Who leads, and what the leader and the others tell each other for its term. */
    sealed interface Leading extends PeerMessage {}

    /** What a host that the store turns away asks the leader for, and the answers. */
    sealed interface ThroughLeader extends PeerMessage {}

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
            implements Leading {}

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
            implements Leading {}

    /**
     * Jobs that a host has just accepted.
     *
     * @param jobs the jobs, which are recorded
     */
    record Accepted(List<Job> jobs) implements Leading {}

    /**
     * A job whose cancellation a host has just recorded.
     *
     * @param job the job
     */
    record Cancelled(String job) implements Leading {}

    /**
     * New states of jobs.
     *
     * @param epoch the leader's term
     * @param sequence the number of this change in the term
     * @param whole true when these are the states of all jobs
     * @param states the states by job
     */
    record States(long epoch, long sequence, boolean whole, Map<String, JobState> states) implements Leading {
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
    record AdviceWanted(long epoch, StepName step, List<String> workers, long timeoutMs) implements Leading {}

    /**
     * The answer to a call for advice.
     *
     * @param epoch the leader's term
     * @param step the step
     * @param answered false when the call failed
     * @param grants the grants
     */
    record AdviceGiven(long epoch, StepName step, boolean answered, List<Grant> grants) implements Leading {}

    /**
     * The leader cannot reach the store and asks who can.
     *
     * @param epoch the leader's term
     * @param address where to answer
     */
    record WhoReachesStore(long epoch, String address) implements Leading {}

    /**
     * A host that reaches the store.
     *
     * @param epoch the term that was asked for
     * @param address where its peers reach it
     */
    record ReachesStore(long epoch, String address) implements Leading {}

    /**
     * The leader has stopped commanding and gives its term to the receiver.
     *
     * @param epoch the term that has ended
     */
    record Handover(long epoch) implements Leading {}

    /**
     * Asks the leader to create a row that does not exist yet.
     *
     * @param address where to answer
     * @param number the number of the question, which the answer repeats
     * @param table the table
     * @param key the key
     * @param value the value
     */
    record RowWanted(String address, long number, String table, String key, byte[] value) implements ThroughLeader {}

    /**
     * What became of a row.
     *
     * @param number the number of the question
     * @param outcome what is known of it
     */
    record RowAnswered(long number, StoreAccess.Creation outcome) implements ThroughLeader {}

    /**
     * Asks the leader which configuration is the newest.
     *
     * @param address where to answer
     * @param number the number of the question, which the answer repeats
     */
    record ViewWanted(String address, long number) implements ThroughLeader {}

    /**
     * The leader's view of the configuration.
     *
     * @param number the number of the question
     * @param version the version of the configuration
     * @param ageMs how long ago that view was known to be the newest one
     */
    record ViewAnswered(long number, long version, long ageMs) implements ThroughLeader {}
}
