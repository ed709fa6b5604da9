package org.acaciafold.settings;

/**
 * Settings of an entry host on the users' platform.
 *
 * @param host its identifier
 * @param domain its failure domain
 * @param processors how many processors it has, a fraction where it has a share of one
 * @param consumers where consumers' requests arrive
 * @param readiness where the platform asks whether it is ready
 * @param metrics where metrics are told, or empty
 * @param peers where it listens for other entry hosts
 * @param advertisedPeers where other entry hosts connect, which differs where ports are mapped
 * @param store the platform's store
 * @param advice the service that advises on placement, or empty
 * @param secret what all entry hosts of a deployment share
 * @param bounds the bounds promised to users
 */
public record EntrySettings(
        String host,
        String domain,
        double processors,
        String consumers,
        String readiness,
        String metrics,
        String peers,
        String advertisedPeers,
        String store,
        String advice,
        String secret,
        EntryBounds bounds) {
    @Override
    public String toString() {
        return "EntrySettings[" + host + " in " + domain + ", peers " + peers + ", store " + store + "]";
    }
}
