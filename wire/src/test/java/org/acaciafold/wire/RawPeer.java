package org.acaciafold.wire;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

import io.netty.buffer.ByteBufUtil;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.HostId;

/** A peer on a plain socket that sends arbitrary frames and bytes. */
final class RawPeer implements AutoCloseable {
    private static final int READ_TIMEOUT_MS = 10_000;

    private final Socket socket;
    private final DataInputStream in;

    private RawPeer(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(READ_TIMEOUT_MS);
        this.in = new DataInputStream(socket.getInputStream());
    }

    static RawPeer accept(ServerSocket server) throws IOException {
        server.setSoTimeout(READ_TIMEOUT_MS);
        return new RawPeer(server.accept());
    }

    static RawPeer connect(String address) throws IOException, AcaciafoldException {
        InetSocketAddress to = Addresses.parse(address);
        return new RawPeer(new Socket(to.getAddress(), to.getPort()));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** Waits until the other side has closed the connection, and returns true. */
    boolean closedByPeer() throws IOException {
        try {
            while (in.read() >= 0) {
                // discards frames that were sent before the end of the stream
            }
            return true;
        } catch (java.net.SocketException e) {
            return true;
        }
    }

    /** Opens the connection as the connecting side. */
    void open(HostId self, ClusterSecret secret) throws IOException, AcaciafoldException {
        byte[] nonce = secret.nonce();
        write(Frame.of(new FrameHead.Hello(ClientSession.PROTOCOL, self, nonce)));
        FrameHead.Welcome welcome = (FrameHead.Welcome) read().head();
        ClusterSecret.Handshake handshake = new ClusterSecret.Handshake(self, nonce, welcome.host(), welcome.nonce());
        write(Frame.of(new FrameHead.Proof(secret.prove(ClusterSecret.Side.CONNECTING, handshake))));
    }

    Frame read() throws IOException, AcaciafoldException {
        byte[] bytes = new byte[in.readInt()];
        in.readFully(bytes);
        return Frame.decode(bytes, "raw");
    }

    /** Reads and skips frames until the next request. */
    FrameHead.RequestHead readRequest() throws IOException, AcaciafoldException {
        while (true) {
            if (read().head() instanceof FrameHead.RequestHead request) {
                return request;
            }
        }
    }

    /** Opens the connection as the accepting side. */
    void welcome(HostId self, ClusterSecret secret) throws IOException, AcaciafoldException {
        FrameHead.Hello hello = (FrameHead.Hello) read().head();
        byte[] nonce = secret.nonce();
        ClusterSecret.Handshake handshake = new ClusterSecret.Handshake(hello.host(), hello.nonce(), self, nonce);
        byte[] proof = secret.prove(ClusterSecret.Side.ACCEPTING, handshake);
        write(Frame.of(new FrameHead.Welcome(self, nonce, proof)));
    }

    void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    void write(Frame frame) throws IOException {
        write(ByteBufUtil.getBytes(frame.encode()));
    }
}
