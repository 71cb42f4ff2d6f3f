import java.lang.foreign.Arena;
import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;
import java.lang.reflect.Field;
import java.nio.channels.ServerSocketChannel;

/**
 * Gives the connections of a listening socket the segment size of an Ethernet link. On the loopback
 * interface segments have 64 KB, and so a sender's kernel takes over several megabytes that no peer
 * has room for, which it does not do on a link.
 */
final class Segments {
    private static final int IPPROTO_TCP = 6;
    private static final int TCP_MAXSEG = 2;
    private static final int ETHERNET_SEGMENT_BYTES = 1_460;

    private Segments() {}

    static void limit(ServerSocketChannel server) {
        try (Arena arena = Arena.ofConfined()) {
            Field field = server.getClass().getDeclaredField("fdVal");
            field.setAccessible(true);
            MethodHandle setsockopt =
                    Linker.nativeLinker()
                            .downcallHandle(
                                    Linker.nativeLinker()
                                            .defaultLookup()
                                            .find("setsockopt")
                                            .orElseThrow(),
                                    FunctionDescriptor.of(
                                            ValueLayout.JAVA_INT,
                                            ValueLayout.JAVA_INT,
                                            ValueLayout.JAVA_INT,
                                            ValueLayout.JAVA_INT,
                                            ValueLayout.ADDRESS,
                                            ValueLayout.JAVA_INT));
            MemorySegment value =
                    arena.allocateFrom(ValueLayout.JAVA_INT, ETHERNET_SEGMENT_BYTES);
            int result =
                    (int)
                            setsockopt.invokeExact(
                                    field.getInt(server),
                                    IPPROTO_TCP,
                                    TCP_MAXSEG,
                                    value,
                                    (int) ValueLayout.JAVA_INT.byteSize());
            if (result != 0) {
                throw new IllegalStateException("segment size was not set");
            }
        } catch (Throwable e) {
            throw new IllegalStateException(e);
        }
    }
}
