package org.beechhoist.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import org.beechhoist.http.HttpMessage;
import org.beechhoist.http.HttpParser;

/** The reading and writing half shared by server and client connections. */
abstract class HttpConnection implements EventLoop.ChannelHandler {
    final SocketChannel channel;
    final HttpParser parser;
    private final ByteBuffer in;
    SelectionKey key;
    private ByteBuffer out;
    boolean closed;

    HttpConnection(EventLoop loop, SocketChannel channel, HttpParser parser) {
        this.in = loop.readBuffer();
        this.channel = channel;
        this.parser = parser;
    }

    abstract void onMessage(HttpMessage message) throws IOException;

    abstract void onUnparsable(HttpParser.UnparsableMessageException why) throws IOException;

    @Override
    public void onReady(SelectionKey key) throws IOException {
        if (key.isWritable()) {
            flush();
        }
        if (!closed && key.isValid() && key.isReadable()) {
            read();
        }
    }

    private void read() throws IOException {
        in.clear();
        int read = channel.read(in);
        if (read < 0) {
            onFailure(new IOException("closed by the other side"));
            return;
        }
        in.flip();
        parser.feed(in);
        deliverMessages();
    }

    /** Hands on whole messages that have arrived. */
    final void deliverMessages() throws IOException {
        try {
            while (!closed && acceptsMessage()) {
                HttpMessage message = parser.next();
                if (message == null) {
                    return;
                }
                onMessage(message);
            }
        } catch (HttpParser.UnparsableMessageException e) {
            onUnparsable(e);
        }
    }

    boolean acceptsMessage() {
        return true;
    }

    final void send(byte[] head, byte[] body) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate((out == null ? 0 : out.remaining()) + head.length + body.length);
        if (out != null) {
            buffer.put(out);
        }
        buffer.put(head).put(body).flip();
        out = buffer;
        flush();
    }

    final boolean isFlushed() {
        return out == null;
    }

    private void flush() throws IOException {
        if (out != null) {
            channel.write(out);
            if (!out.hasRemaining()) {
                out = null;
            }
        }
        if (key.isValid()) {
            key.interestOps(SelectionKey.OP_READ | (out == null ? 0 : SelectionKey.OP_WRITE));
        }
        if (out == null) {
            onFlushed();
        }
    }

    void onFlushed() {}

    final void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (key != null) {
            key.cancel();
        }
        try {
            channel.close();
        } catch (IOException e) {
            // The socket is gone either way.
        }
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
