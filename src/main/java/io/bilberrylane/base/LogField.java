package io.bilberrylane.base;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import net.logstash.logback.argument.StructuredArgument;

/**
 * One field of a log line. Every call writes dozens of them; the general arguments of the log
 * library cost a marker and a search for a serializer each.
 *
 * @param name the name of the field
 * @param value the value, or null
 */
record LogField(String name, Object value) implements StructuredArgument {
    @Override
    public void writeTo(final JsonGenerator generator) throws IOException {
        generator.writeFieldName(name);
        if (value instanceof String text) {
            generator.writeString(text);
        } else if (value instanceof Integer number) {
            generator.writeNumber(number.intValue());
        } else if (value instanceof Long number) {
            generator.writeNumber(number.longValue());
        } else if (value instanceof Boolean flag) {
            generator.writeBoolean(flag.booleanValue());
        } else {
            generator.writeObject(value);
        }
    }

    @Override
    public String toString() {
        return name + "=" + value;
    }
}
