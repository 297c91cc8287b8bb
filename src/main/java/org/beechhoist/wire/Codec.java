package org.beechhoist.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** CBOR bodies to trees and back, and the checked reading of a tree's fields. */
public final class Codec {
    /** The protocol's limit on bodies. */
    public static final int MAX_BODY = 64 * 1024;

    private static final ObjectMapper CBOR =
            new ObjectMapper(new UnsignedCborFactory()).enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private Codec() {}

    /** An empty map. */
    public static ObjectNode map() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** An empty list. */
    public static ArrayNode list() {
        return JsonNodeFactory.instance.arrayNode();
    }

    /** Bytes of a value as the platform's limits count them: in the form of JSON, whatever is sent. */
    public static int jsonBytes(JsonNode value) {
        return value.toString().getBytes(StandardCharsets.UTF_8).length;
    }

    /** The tree as CBOR. */
    public static byte[] encode(JsonNode node) {
        try {
            return CBOR.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e); // a tree of ours always encodes
        }
    }

    /**
     * The map in {@code body}; everything else is malformed, also a map with text that is not Unicode: the parser reads such
     * text, but nothing that repeats it can be encoded.
     */
    public static JsonNode decodeMap(byte[] body) throws MalformedMessageException {
        JsonNode node;
        try {
            node = CBOR.readTree(body);
        } catch (IOException | RuntimeException e) {
            throw new MalformedMessageException("body is not CBOR");
        }
        if (node == null || !node.isObject()) {
            throw new MalformedMessageException("body is not a map");
        }
        if (!UnicodeText.isValid(node)) {
            throw new MalformedMessageException("body has text that is not Unicode");
        }
        return node;
    }

    /** Whether the field is missing or null. */
    public static boolean isAbsent(JsonNode node, String field) {
        JsonNode v = node.get(field);
        return v == null || v.isNull();
    }

    /**
     * The field's text.
     *
     * @throws MalformedMessageException if it is missing or no text
     */
    public static String text(JsonNode node, String field) throws MalformedMessageException {
        JsonNode value = node.get(field);
        if (value == null || !value.isTextual()) {
            throw new MalformedMessageException(field + ": text expected");
        }
        return value.textValue();
    }

    /**
     * The field's truth value.
     *
     * @throws MalformedMessageException if it is missing or neither true nor false
     */
    public static boolean bool(JsonNode node, String field) throws MalformedMessageException {
        JsonNode value = node.get(field);
        if (value == null || !value.isBoolean()) {
            throw new MalformedMessageException(field + ": true or false expected");
        }
        return value.booleanValue();
    }

    /** A finite decimal number of at least {@code least}. */
    public static double number(JsonNode node, String field, double least) throws MalformedMessageException {
        JsonNode value = node.get(field);
        if (value == null || !value.isNumber() || !Double.isFinite(value.doubleValue())) {
            throw new MalformedMessageException(field + ": number expected");
        }
        if (value.doubleValue() < least || value.doubleValue() > 1e12) {
            throw new MalformedMessageException(field + ": out of range");
        }
        return value.doubleValue();
    }

    /** A whole number between the bounds; counts may come as 3 or 3.0. */
    public static long wholeNumber(JsonNode node, String field, long least, long most)
            throws MalformedMessageException {
        BigInteger number = integer(node, field);
        if (number.compareTo(BigInteger.valueOf(least)) < 0 || number.compareTo(BigInteger.valueOf(most)) > 0) {
            throw new MalformedMessageException(field + ": out of range");
        }
        return number.longValue();
    }

    /**
     * An integer smaller than 2^64, as the protocol has counts, versions, tokens and attempts.
     *
     * @return its bits, to be read as unsigned
     */
    public static long unsignedNumber(JsonNode node, String field) throws MalformedMessageException {
        BigInteger number = integer(node, field);
        if (number.signum() < 0 || number.bitLength() > Long.SIZE) {
            throw new MalformedMessageException(field + ": out of range");
        }
        return number.longValue();
    }

    /** Sets the field to an integer smaller than 2^64, given by its bits; returns the map. */
    public static ObjectNode putUnsigned(ObjectNode node, String field, long bits) {
        return bits >= 0 ? node.put(field, bits) : node.put(field, new BigInteger(Long.toUnsignedString(bits)));
    }

    private static BigInteger integer(JsonNode node, String field) throws MalformedMessageException {
        JsonNode value = node.get(field);
        if (value == null || !value.isNumber() || !Double.isFinite(value.doubleValue())) {
            throw new MalformedMessageException(field + ": number expected");
        }
        if (value.isIntegralNumber()) {
            return value.bigIntegerValue();
        }
        double number = value.doubleValue();
        if (number != Math.rint(number)) {
            throw new MalformedMessageException(field + ": whole number expected");
        }
        return new BigDecimal(number).toBigInteger();
    }

    /**
     * The value as a list of texts.
     *
     * @param field names it in the exception's message
     */
    public static List<String> textList(JsonNode value, String field) throws MalformedMessageException {
        if (value == null || !value.isArray()) {
            throw new MalformedMessageException(field + ": list expected");
        }
        List<String> out = new ArrayList<>(value.size());
        for (JsonNode element : value) {
            if (!element.isTextual()) {
                throw new MalformedMessageException(field + ": list of texts expected");
            }
            out.add(element.textValue());
        }
        return out;
    }
}
