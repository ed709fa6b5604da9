package org.acaciafold.daemon;

import org.acaciafold.clients.HostListClient;
import org.acaciafold.clients.HttpHostListClient;
import org.acaciafold.clients.HttpTableClient;
import org.acaciafold.clients.HttpWorkerClient;
import org.acaciafold.clients.TableClient;
import org.acaciafold.clients.WorkerClient;
import org.acaciafold.settings.HostSettings;

/**
 * The clients through which an entry host reaches the platform and the workers.
 *
 * @param table the client of the table service
 * @param hosts the client of the host list
 * @param workers the client of the workers
 */
public record PlatformClients(TableClient table, HostListClient hosts, WorkerClient workers) {
    /**
     * Creates clients that use HTTP.
     *
     * @param settings the settings of the entry host
     * @return the clients
     */
    public static PlatformClients http(HostSettings settings) {
        String platform = settings.addresses().platform();
        long timeoutMs = settings.timings().callTimeoutMs();
        return new PlatformClients(
                HttpTableClient.of(platform, timeoutMs),
                HttpHostListClient.of(platform, timeoutMs),
                HttpWorkerClient.of(timeoutMs));
    }
}
