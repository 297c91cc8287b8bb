package org.beechhoist.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import org.beechhoist.http.HttpMessage;
import org.beechhoist.http.HttpParser;

/** The reading and writing half shared by server and client connections. */
abstract class Wire implements Loop.Ready {
    final SocketChannel channel;
    final HttpParser parser;
    private final ByteBuffer in;
    SelectionKey key;
    private ByteBuffer out;
    boolean closed;

    Wire(Loop loop, SocketChannel channel, HttpParser parser) {
        this.in = loop.buffer();
        this.channel = channel;
        this.parser = parser;
    }

    abstract void message(HttpMessage message) throws IOException;

    abstract void unparsable(HttpParser.UnparsableMessageException why) throws IOException;

    @Override
    public void ready(SelectionKey key) throws IOException {
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
            broken(new IOException("closed by the other side"));
            return;
        }
        in.flip();
        parser.feed(in);
        pump();
    }

    /** Hands on whole messages that have arrived. */
    final void pump() throws IOException {
        try {
            while (!closed && wantsMessage()) {
                HttpMessage message = parser.next();
                if (message == null) {
                    return;
                }
                message(message);
            }
        } catch (HttpParser.UnparsableMessageException e) {
            unparsable(e);
        }
    }

    boolean wantsMessage() {
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

    final boolean flushed() {
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
            drained();
        }
    }

    void drained() {}

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
