package io.bilberrylane.peer;

import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ArrayValue;
import org.msgpack.value.Value;

/** Reads the fields of one message; fields that are not requested are ignored. */
final class FieldReader {
    /** The maximum number of fields; those with a higher number are of later versions. */
    private static final int MAX_FIELDS = 64;

    private final int mType;

    /** The values of the fields by their numbers; null if a field is absent. */
    private final Value[] mFields;

    private FieldReader(final int type, final Value[] fields) {
        mType = type;
        mFields = fields;
    }

    static FieldReader of(final byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackArrayHeader() != 2) {
                throw protocolViolation("message is not an array of two elements", null);
            }
            final int type = unpacker.unpackInt();
            final int count = unpacker.unpackMapHeader();
            if (count > MAX_FIELDS) {
                throw protocolViolation("message has more than " + MAX_FIELDS + " fields", null);
            }
            final Value[] fields = new Value[MAX_FIELDS];
            final BoundedValueReader values = new BoundedValueReader(unpacker, bytes.length);
            for (int i = 0; i < count; i++) {
                final int field = unpacker.unpackInt();
                final Value value = values.read();
                if (field >= 0 && field < MAX_FIELDS) {
                    fields[field] = value;
                }
            }
            return new FieldReader(type, fields);
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw protocolViolation("message is malformed", e);
        }
    }

    int type() {
        return mType;
    }

    private boolean has(final int field) {
        return mFields[field] != null;
    }

    long integer(final int field) {
        final Value value = required(field);
        if (value.isIntegerValue()) {
            return value.asIntegerValue().toLong();
        }
        throw invalid(field, null);
    }

    /** Returns a field that earlier versions do not send. */
    long integerOr(final int field, final long absent) {
        return has(field) ? integer(field) : absent;
    }

    int smallInteger(final int field) {
        final Value value = required(field);
        if (value.isIntegerValue()) {
            return value.asIntegerValue().toInt();
        }
        throw invalid(field, null);
    }

    String text(final int field) {
        final Value value = required(field);
        if (value.isStringValue()) {
            return ValueFormats.readText(value);
        }
        throw invalid(field, null);
    }

    /** Returns a field that earlier versions do not send. */
    String textOr(final int field, final String absent) {
        return has(field) ? text(field) : absent;
    }

    /** Returns a field that earlier versions do not send; false if it is absent. */
    boolean flagIfPresent(final int field) {
        return has(field) && flag(field);
    }

    boolean flag(final int field) {
        final Value value = required(field);
        if (value.isBooleanValue()) {
            return value.asBooleanValue().getBoolean();
        }
        throw invalid(field, null);
    }

    byte[] binary(final int field) {
        final Value value = required(field);
        if (value.isBinaryValue()) {
            return value.asBinaryValue().asByteArray();
        }
        throw invalid(field, null);
    }

    ArrayValue array(final int field) {
        final Value value = required(field);
        if (value.isArrayValue()) {
            return value.asArrayValue();
        }
        throw invalid(field, null);
    }

    <T> T value(final int field, final Function<Value, T> reader) {
        final Value value = required(field);
        try {
            return reader.apply(value);
        } catch (MessagePackException | IllegalArgumentException | IndexOutOfBoundsException e) {
            throw invalid(field, e);
        }
    }

    <T> List<T> listIfPresent(final int field, final Function<Value, T> reader) {
        return has(field) ? list(field, reader) : List.of();
    }

    <T> List<T> list(final int field, final Function<Value, T> reader) {
        final ArrayValue items = array(field);
        final List<T> values = new ArrayList<>(items.size());
        try {
            for (final Value item : items) {
                values.add(reader.apply(item));
            }
        } catch (MessagePackException | IllegalArgumentException | IndexOutOfBoundsException e) {
            throw invalid(field, e);
        }
        return values;
    }

    <E extends Enum<E>> E constant(final int field, final E[] constants) {
        final int index = smallInteger(field);
        if (index < 0 || index >= constants.length) {
            throw protocolViolation("field " + field + " is out of range", null);
        }
        return constants[index];
    }

    // -- errors

    private Value required(final int field) {
        final Value value = mFields[field];
        if (value == null) {
            throw protocolViolation("message type " + mType + " lacks field " + field, null);
        }
        return value;
    }

    private BilberrylaneException invalid(final int field, final Throwable cause) {
        return protocolViolation(
                "field " + field + " of message type " + mType + " has an invalid type or value",
                cause);
    }

    static BilberrylaneException protocolViolation(final String message, final Throwable cause) {
        return new BilberrylaneException(ErrorCode.PROTOCOL_VIOLATION, message, cause);
    }
}
