package io.bilberrylane.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Reads the JSON lines of a watch. */
final class WatchExchange extends SimpleChannelInboundHandler<HttpObject> {
    private static final int MAX_LINE_BYTES = 2 * 1024 * 1024;

    private final WatchListener mListener;
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private boolean mEnded;

    WatchExchange(final WatchListener listener) {
        mListener = listener;
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject message) {
        if (message instanceof HttpResponse response && response.status().code() != 200) {
            end(PlatformErrors.of(response.status().code(), "watch refused"));
            ctx.close();
            return;
        }
        if (message instanceof HttpContent content) {
            content.content()
                    .forEachByte(
                            value -> {
                                onByte(value);
                                return true;
                            });
        }
    }

    private void onByte(final byte value) {
        if (value != '\n') {
            mLine.write(value);
            if (mLine.size() > MAX_LINE_BYTES) {
                throw new BilberrylaneException(
                        ErrorCode.PLATFORM_UNAVAILABLE, "the platform sent too long a line");
            }
            return;
        }
        final String line = mLine.toString(StandardCharsets.UTF_8);
        mLine.reset();
        if (!line.isBlank() && !mEnded) {
            onLine(line);
        }
    }

    private void onLine(final String line) {
        final JsonNode event = ObjectJson.parse(line);
        final String type = event.path("type").asText();
        switch (type) {
            case "ADDED", "MODIFIED" -> mListener.onChanged(ObjectJson.read(event.path("object")));
            case "DELETED" -> mListener.onDeleted(ObjectJson.read(event.path("object")));
            case "ERROR" ->
                    end(
                            new BilberrylaneException(
                                    ErrorCode.PLATFORM_GONE, "the watch's version is too old"));
            default -> {
                // Bookmarks and later event types carry nothing for us.
            }
        }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext ctx) {
        end(new BilberrylaneException(ErrorCode.PLATFORM_UNAVAILABLE, "the watch was cut"));
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
        end(new BilberrylaneException(ErrorCode.PLATFORM_UNAVAILABLE, "the watch failed", cause));
        ctx.close();
    }

    void end(final RuntimeException cause) {
        if (!mEnded) {
            mEnded = true;
            mListener.onEnded(cause);
        }
    }
}
