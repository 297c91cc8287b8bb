package org.beechhoist.wire;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.ObjectCodec;
import com.fasterxml.jackson.core.io.IOContext;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.math.BigInteger;
import java.nio.ByteBuffer;

/**
 * Writes integers from 2^63 to 2^64 - 1 as CBOR's unsigned integers, which every reader of the protocol understands. The library
 * reads these, but writes such values as big numbers, which are binary data under a tag.
 */
final class UnsignedCborFactory extends CBORFactory {
    private static final long serialVersionUID = 1;
    /** The initial byte of an unsigned integer (major type 0) in the eight bytes that follow. */
    private static final byte UNSIGNED_8_BYTES = 0x1b;

    @Override
    public CBORGenerator createGenerator(OutputStream out, JsonEncoding encoding) throws IOException {
        IOContext context = _createContext(_createContentReference(out), false);
        return new Generator(context, _generatorFeatures, _formatGeneratorFeatures, _objectCodec, out);
    }

    private static final class Generator extends CBORGenerator {
        Generator(IOContext context, int features, int formatFeatures, ObjectCodec codec, OutputStream out) {
            super(context, features, formatFeatures, codec, out);
        }

        @Override
        public void writeNumber(BigInteger value) throws IOException {
            if (value.signum() < 0 || value.bitLength() != Long.SIZE) {
                super.writeNumber(value);
                return;
            }
            _verifyValueWrite("write number");
            writeRaw(UNSIGNED_8_BYTES);
            byte[] bytes =
                    ByteBuffer.allocate(Long.BYTES).putLong(value.longValue()).array();
            writeBytes(bytes, 0, bytes.length);
        }
    }
}
