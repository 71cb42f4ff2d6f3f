package hyssopturn.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

import java.nio.charset.StandardCharsets;

/** Answers to requests that have not run, after which the connection closes. */
enum RawAnswer {
    TIMEOUT("408 Request Timeout", ""),
    TOO_LARGE("431 Request Header Fields Too Large", ""),
    UNAVAILABLE("503 Service Unavailable", "Retry-After: 1\r\n");

    private final String text;

    RawAnswer(String status, String headers) {
        text =
                "HTTP/1.1 %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n"
                        .formatted(status, headers);
    }

    ByteBuf bytes() {
        return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
