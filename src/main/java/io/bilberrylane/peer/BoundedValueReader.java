package io.bilberrylane.peer;

import java.io.IOException;
import org.msgpack.core.ExtensionTypeHeader;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.Value;
import org.msgpack.value.ValueFactory;

/**
 * Reads values whose declared sizes do not exceed the remaining bytes of the message, so that a
 * declared size cannot cause a larger allocation.
 */
final class BoundedValueReader {
    private static final int MAX_DEPTH = 8;

    private final MessageUnpacker mUnpacker;
    private final int mMessageBytes;

    BoundedValueReader(final MessageUnpacker unpacker, final int messageBytes) {
        mUnpacker = unpacker;
        mMessageBytes = messageBytes;
    }

    Value read() throws IOException {
        return read(0);
    }

    private Value read(final int depth) throws IOException {
        if (depth > MAX_DEPTH) {
            throw FieldReader.protocolViolation("values are nested too deeply", null);
        }
        return switch (mUnpacker.getNextFormat().getValueType()) {
            case ARRAY -> readArray(depth);
            case MAP -> readMap(depth);
            case STRING -> ValueFactory.newString(readPayload(mUnpacker.unpackRawStringHeader()));
            case BINARY -> ValueFactory.newBinary(readPayload(mUnpacker.unpackBinaryHeader()));
            case EXTENSION -> {
                final ExtensionTypeHeader header = mUnpacker.unpackExtensionTypeHeader();
                yield ValueFactory.newExtension(header.getType(), readPayload(header.getLength()));
            }
            case NIL, BOOLEAN, INTEGER, FLOAT -> mUnpacker.unpackValue();
        };
    }

    private Value readArray(final int depth) throws IOException {
        final Value[] items = new Value[checkedSize(mUnpacker.unpackArrayHeader())];
        for (int i = 0; i < items.length; i++) {
            items[i] = read(depth + 1);
        }
        return ValueFactory.newArray(items, true);
    }

    private Value readMap(final int depth) throws IOException {
        final Value[] items = new Value[2 * checkedSize(mUnpacker.unpackMapHeader())];
        for (int i = 0; i < items.length; i++) {
            items[i] = read(depth + 1);
        }
        return ValueFactory.newMap(items, true);
    }

    private byte[] readPayload(final int size) throws IOException {
        return mUnpacker.readPayload(checkedSize(size));
    }

    private int checkedSize(final int size) {
        if (size < 0 || size > mMessageBytes - mUnpacker.getTotalReadBytes()) {
            throw FieldReader.protocolViolation(
                    "the declared size of a value exceeds the message", null);
        }
        return size;
    }
}
