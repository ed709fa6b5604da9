package org.acaciafold.standin;

import java.net.BindException;
import java.net.InetSocketAddress;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** Binds servers to addresses written as an IP number and a port. */
final class Listener {
    private Listener() {}

    /**
     * Binds a server to an address and starts it.
     *
     * @param server the server with its handler
     * @param address an IP number and a port; port 0 selects any free port
     * @return the running server
     * @throws AcaciafoldException when the address is malformed or cannot be bound
     */
    static DisposableServer bind(HttpServer server, String address) throws AcaciafoldException {
        try {
            return server.bindAddress(() -> parse(address)).bindNow();
        } catch (IllegalArgumentException e) {
            throw new AcaciafoldException(failure(address, "bad-address", "not an IP number and a port"), e);
        } catch (ChannelBindException e) {
            throw new AcaciafoldException(failure(address, "port-in-use", e.getMessage()), e);
        } catch (IllegalStateException e) {
            boolean inUse = e.getCause() instanceof BindException;
            throw new AcaciafoldException(failure(address, inUse ? "port-in-use" : "bind", e.getMessage()), e);
        }
    }

    /**
     * Returns the address of a running server.
     *
     * @param server the server
     * @return an IP number and a port
     */
    static String address(DisposableServer server) {
        return server.host() + ":" + server.port();
    }

    private static Failure failure(String address, String code, String message) {
        return Failure.notRun(Step.SETTINGS, address, code, String.valueOf(message));
    }

    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("no port in " + address);
        }
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
