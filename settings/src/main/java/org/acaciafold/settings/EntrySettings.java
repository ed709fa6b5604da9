package org.acaciafold.settings;

/**
 * The settings of an entry host on the users' platform.
 *
 * @param host the identifier of the host
 * @param domain the failure domain of the host
 * @param processors the number of processors, fractional if the host has a share of one
 * @param consumers the address that listens for clients' requests
 * @param readiness the address of the readiness check that the platform calls
 * @param metrics the address that serves metrics, or empty
 * @param peers the address that listens for other entry hosts
 * @param advertisedPeers the address that other entry hosts connect to; differs from {@code peers} if ports are mapped
 * @param store the address of the platform's store
 * @param advice the address of the placement advice service, or empty
 * @param secret the secret that all entry hosts of a deployment share
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
