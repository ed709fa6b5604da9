package org.acaciafold.entry;

import java.util.List;
import java.util.Map;

import org.acaciafold.fleet.Grant;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.StepName;

/** A message between entry hosts. */
sealed interface PeerMessage {
    /** A message about leadership, or between the leader and other hosts for its term. */
    sealed interface Leading extends PeerMessage {}

    /** A request to the leader from a host whose requests the store rejects, or the leader's reply. */
    sealed interface ThroughLeader extends PeerMessage {}

    /**
     * A heartbeat of a host to the leader.
     *
     * @param host the host
     * @param address the address at which its peers reach it
     * @param processors the number of its processors
     * @param sequence the sequence number of the last state change that it has received in this term
     * @param stopping true when it is about to stop
     * @param upMs how long it has been running, in milliseconds; 0 from hosts of releases that do not report it
     */
    record HostBeat(String host, String address, double processors, long sequence, boolean stopping, long upMs)
            implements Leading {}

    /**
     * A heartbeat of the leader to all hosts.
     *
     * @param lease the leader's lease
     * @param leaseVersion the version of its row after the last confirmed renewal
     * @param leaseAgeMs how long before this heartbeat that renewal was sent, in milliseconds
     * @param sequence the sequence number of the last state change of this term
     * @param running true once the leader has loaded all jobs, so that the counts are correct
     * @param pending the number of jobs without a started task in each queue
     * @param hosts the addresses of all hosts by name, in one of several heartbeats; otherwise empty
     * @param largest the number of processors of the largest host that sends heartbeats to the leader
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
     * @param jobs the jobs, which are already recorded in the store
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
     * @param epoch the epoch of the leader's term
     * @param sequence the sequence number of this change in the term
     * @param whole true for a full state snapshot
     * @param states the states by job
     */
    record States(long epoch, long sequence, boolean whole, Map<String, JobState> states) implements Leading {
        /** The sequence number of a host that has received no change of the term yet. */
        static final long NONE_SEEN = -1;

        /** The sequence number of a message outside the order of changes, which follows none of them. */
        static final long OUT_OF_ORDER = Long.MIN_VALUE;

        /** Returns whether a host with all changes up to the given number is up to date after this message. */
        boolean follows(long seen) {
            return whole || sequence == seen + 1;
        }
    }

    /**
     * Requests that a host calls for placement advice.
     *
     * @param epoch the epoch of the leader's term
     * @param step the step
     * @param workers the candidate workers
     * @param timeoutMs how long the call may take, in milliseconds
     */
    record AdviceWanted(long epoch, StepName step, List<String> workers, long timeoutMs) implements Leading {}

    /**
     * The result of a call for advice.
     *
     * @param epoch the epoch of the leader's term
     * @param step the step
     * @param answered false when the call failed
     * @param grants the grants
     */
    record AdviceGiven(long epoch, StepName step, boolean answered, List<Grant> grants) implements Leading {}

    /**
     * Asks a host whether it reaches the store, so that the leader can hand over to it.
     *
     * @param epoch the epoch of the leader's term
     * @param address the address for the reply
     */
    record WhoReachesStore(long epoch, String address) implements Leading {}

    /**
     * The reply of a host that reaches the store.
     *
     * @param epoch the epoch from the request
     * @param address the address at which its peers reach it
     */
    record ReachesStore(long epoch, String address) implements Leading {}

    /**
     * Hands over leadership to the receiver; the leader no longer sends orders.
     *
     * @param epoch the epoch of the term that has ended
     */
    record Handover(long epoch) implements Leading {}

    /**
     * Requests that the leader creates a row that does not exist yet.
     *
     * @param address the address for the reply
     * @param number the number of the request, which the reply repeats
     * @param table the table
     * @param key the key
     * @param value the value
     */
    record RowWanted(String address, long number, String table, String key, byte[] value) implements ThroughLeader {}

    /**
     * The outcome of a request to create a row.
     *
     * @param number the number of the request
     * @param outcome the outcome, as far as it is known
     */
    record RowAnswered(long number, StoreAccess.Creation outcome) implements ThroughLeader {}

    /**
     * Requests the version of the newest configuration from the leader.
     *
     * @param address the address for the reply
     * @param number the number of the request, which the reply repeats
     */
    record ViewWanted(String address, long number) implements ThroughLeader {}

    /**
     * The leader's view of the configuration.
     *
     * @param number the number of the request
     * @param version the version of the configuration
     * @param ageMs how long ago the leader last confirmed that this version is the newest, in milliseconds
     */
    record ViewAnswered(long number, long version, long ageMs) implements ThroughLeader {}
}
