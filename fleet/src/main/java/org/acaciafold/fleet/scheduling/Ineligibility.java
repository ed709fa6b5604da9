package org.acaciafold.fleet.scheduling;

/** The conditions by which a worker gets no tasks, in the order in which {@link Eligibility} checks them. */
enum Ineligibility {
    /** The registry does not list it. */
    NOT_REGISTERED,
    /** It has not answered its last renewal. */
    MISSED_RENEWAL,
    /** A call to it is overdue, and no probe has been answered since. */
    SUSPECT,
    /** Its record may say that it is silent. */
    SILENCE_RECORDED,
    /** It has not answered this leader yet. */
    NEVER_ANSWERED,
    /** Calls for a former incarnation may still be executed: it has not answered a raised fencing token yet. */
    FENCE_OPEN,
    /** Its last answer is too old. */
    CONTACT_OLD,
    /** Tasks of different jobs have failed there. */
    PAUSED,
    /** It has refused a start. */
    REFUSED_START,
    /** Its entry has not been read. */
    NO_ENTRY,
    /** The registry shows another incarnation than the one that answers. */
    OTHER_INCARNATION,
    /** It says that it leaves. */
    DRAINING,
    /** Its failure domain is out of service. */
    EVACUATED,
    /** What earlier leaders started there is not known yet. */
    UNRECONCILED
}
