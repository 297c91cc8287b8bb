package org.beechhoist.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import org.beechhoist.http.HttpMessage;
import org.beechhoist.http.HttpParser;

/** Reading and writing of HTTP messages on one connection, shared by server and client. */
abstract class HttpConnection implements EventLoop.ChannelHandler {
    final SocketChannel channel;
    final HttpParser parser;
    private final ByteBuffer readBuffer;
    SelectionKey key;
    private ByteBuffer writeBuffer;
    boolean closed;

    HttpConnection(EventLoop loop, SocketChannel channel, HttpParser parser) {
        this.readBuffer = loop.readBuffer();
        this.channel = channel;
        this.parser = parser;
    }

    /** Handles a complete message. */
    abstract void onMessage(HttpMessage message) throws IOException;

    /** Handles input that is not a valid HTTP message; no further message can be read from this connection. */
    abstract void onUnparsable(HttpParser.UnparsableMessageException cause) throws IOException;

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
        readBuffer.clear();
        int byteCount = channel.read(readBuffer);
        if (byteCount < 0) {
            onFailure(new IOException("connection closed by the peer"));
            return;
        }
        readBuffer.flip();
        parser.feed(readBuffer);
        deliverMessages();
    }

    /** Passes the complete messages received so far to {@link #onMessage}, for as long as they are accepted. */
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

    /** Returns true if the next message may be delivered now. */
    boolean acceptsMessage() {
        return true;
    }

    /** Writes a message as far as the socket takes it, and the rest when the socket becomes writable. */
    final void send(byte[] head, byte[] body) throws IOException {
        ByteBuffer pending =
                ByteBuffer.allocate((writeBuffer == null ? 0 : writeBuffer.remaining()) + head.length + body.length);
        if (writeBuffer != null) {
            pending.put(writeBuffer);
        }
        pending.put(head).put(body).flip();
        writeBuffer = pending;
        flush();
    }

    /** Returns true if no output is pending. */
    final boolean isFlushed() {
        return writeBuffer == null;
    }

    private void flush() throws IOException {
        if (writeBuffer != null) {
            channel.write(writeBuffer);
            if (!writeBuffer.hasRemaining()) {
                writeBuffer = null;
            }
        }
        if (key.isValid()) {
            key.interestOps(SelectionKey.OP_READ | (writeBuffer == null ? 0 : SelectionKey.OP_WRITE));
        }
        if (writeBuffer == null) {
            onFlushed();
        }
    }

    /** Called when all pending output has been written. */
    void onFlushed() {}

    /** Closes the channel; has no effect if it is closed already. */
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
            // Ignored: the connection is not used any more.
        }
    }

    /** Encodes text as ISO 8859-1, of which ASCII is a part. */
    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
