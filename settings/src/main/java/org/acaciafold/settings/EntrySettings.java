package org.acaciafold.settings;

/**
 * Settings of an entry host on the users' platform.
 *
 * @param host its identifier
 * @param domain its failure domain
 * @param consumers where consumers' requests arrive
 * @param readiness where the platform asks whether it is ready
 * @param metrics where metrics are told, or empty
 * @param peers where other entry hosts connect
 * @param store the platform's store
 * @param advice the service that advises on placement, or empty
 * @param secret what all entry hosts of a deployment share
 * @param bounds the bounds promised to users
 */
public record EntrySettings(
        String host,
        String domain,
        String consumers,
        String readiness,
        String metrics,
        String peers,
        String store,
        String advice,
        String secret,
        EntryBounds bounds) {
    @Override
    public String toString() {
        return "EntrySettings[" + host + " in " + domain + ", peers " + peers + ", store " + store + "]";
    }
}
