package org.beechhoist.drain;

import com.fasterxml.jackson.databind.JsonNode;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;

/** Reads and checks fields of requests; an error message names the field, its value and what is expected. */
final class Fields {
    private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,59}";

    private Fields() {}

    static long wholeNumber(JsonNode node, String field, long defaultValue, long min, long max)
            throws MalformedMessageException {
        JsonNode value = node.get(field);
        if (value == null || value.isNull()) {
            return defaultValue;
        }
        if (!value.isNumber()
                || value.doubleValue() != Math.rint(value.doubleValue())
                || value.doubleValue() < min
                || value.doubleValue() > max) {
            throw new MalformedMessageException(
                    field + " = " + value + ": a whole number from " + min + " to " + max + " is expected");
        }
        return value.longValue();
    }

    static double number(JsonNode node, String field, double defaultValue, double min, double max)
            throws MalformedMessageException {
        JsonNode value = node.get(field);
        if (value == null || value.isNull()) {
            return defaultValue;
        }
        if (!value.isNumber() || !(value.doubleValue() >= min && value.doubleValue() <= max)) {
            throw new MalformedMessageException(
                    field + " = " + value + ": a number from " + min + " to " + max + " is expected");
        }
        return value.doubleValue();
    }

    static boolean bool(JsonNode node, String field) throws MalformedMessageException {
        JsonNode value = node.get(field);
        if (value != null && !value.isNull() && !value.isBoolean()) {
            throw new MalformedMessageException(field + " = " + value + ": true or false is expected");
        }
        return value != null && value.booleanValue();
    }

    /** Returns a name, or null if the field is absent. */
    static String optionalName(JsonNode node, String field) throws MalformedMessageException {
        return Codec.isAbsent(node, field) ? null : checkName(field, Codec.text(node, field));
    }

    static String checkName(String field, String text) throws MalformedMessageException {
        if (!text.matches(NAME_PATTERN)) {
            throw new MalformedMessageException(
                    field + " = " + text + ": 1 to 60 letters, digits, dots, dashes and underlines are expected");
        }
        return text;
    }
}
