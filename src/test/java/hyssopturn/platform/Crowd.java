package hyssopturn.platform;

import hyssopturn.model.Address;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Connections that all send the same bytes and read nothing; bounded in bytes and time. */
final class Crowd implements AutoCloseable {
    private static final int BUFFER_BYTES = 65_536;
    private static final int SOCKET_BUFFER_BYTES = 65_536;
    private static final long MAX_MILLIS = 15_000;
    private static final long PAUSE_MILLIS = 5;

    /** Number of rounds without a byte sent after which the crowd has sent what it can. */
    private static final int QUIET_ROUNDS = 200;

    private final Address front;
    private final List<Member> members = new ArrayList<>();

    private static final class Member {
        private final SocketChannel channel;
        private final byte[] opening;
        private final byte[] repeated;
        private final long limitBytes;
        private long sentBytes;
        private boolean closed;

        Member(SocketChannel channel, byte[] opening, byte[] repeated, long limitBytes) {
            this.channel = channel;
            this.opening = opening;
            this.repeated = repeated;
            this.limitBytes = limitBytes;
        }

        /** Sends what the connection takes now, and returns how much. */
        int send() {
            if (closed || !channel.isConnected() || sentBytes >= limitBytes) {
                return 0;
            }
            try {
                int sent = channel.write(next());
                sentBytes += sent;
                return sent;
            } catch (IOException e) {
                closed = true;
                return 0;
            }
        }

        private ByteBuffer next() {
            long left = limitBytes - sentBytes;
            if (sentBytes < opening.length) {
                int offset = (int) sentBytes;
                return ByteBuffer.wrap(
                        opening, offset, (int) Math.min(left, opening.length - offset));
            }
            int offset = (int) ((sentBytes - opening.length) % repeated.length);
            return ByteBuffer.wrap(
                    repeated, offset, (int) Math.min(left, repeated.length - offset));
        }
    }

    Crowd(Address front) {
        this.front = front;
    }

    /**
     * Opens connections.
     *
     * @param count number of connections
     * @param opening bytes that each sends first
     * @param repeated bytes that each then repeats, may be empty
     * @param limitBytes number of bytes that each sends in all
     */
    Crowd add(int count, String opening, String repeated, long limitBytes) throws IOException {
        byte[] first = bytes(opening);
        byte[] rest = repeated.isEmpty() ? new byte[0] : fill(bytes(repeated));
        long limit = repeated.isEmpty() ? first.length : limitBytes;
        for (int i = 0; i < count; i++) {
            members.add(new Member(open(), first, rest, limit));
        }
        return this;
    }

    private SocketChannel open() throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_SNDBUF, SOCKET_BUFFER_BYTES);
        channel.setOption(StandardSocketOptions.SO_RCVBUF, SOCKET_BUFFER_BYTES);
        channel.configureBlocking(false);
        channel.connect(new InetSocketAddress(front.host(), front.port()));
        return channel;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] fill(byte[] repeated) {
        int count = Math.max(1, BUFFER_BYTES / repeated.length);
        ByteBuffer buffer = ByteBuffer.allocate(count * repeated.length);
        for (int i = 0; i < count; i++) {
            buffer.put(repeated);
        }
        return buffer.array();
    }

    /** Sends until all bytes are sent, the router takes no more, or the time is over. */
    Crowd send(Runnable eachRound) {
        long end = System.currentTimeMillis() + MAX_MILLIS;
        int quiet = 0;
        while (quiet < QUIET_ROUNDS && System.currentTimeMillis() < end) {
            connectPending();
            int sent = members.stream().mapToInt(Member::send).sum();
            eachRound.run();
            quiet = sent == 0 ? quiet + 1 : 0;
            if (sent == 0) {
                pause();
            }
        }
        return this;
    }

    private void connectPending() {
        for (Member member : members) {
            try {
                if (member.channel.isConnectionPending()) {
                    member.channel.finishConnect();
                }
            } catch (IOException e) {
                member.closed = true;
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Closes all connections with a reset. */
    @Override
    public void close() throws IOException {
        for (Member member : members) {
            if (member.channel.isOpen() && !member.closed) {
                member.channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            }
            member.channel.close();
        }
        members.clear();
    }
}
