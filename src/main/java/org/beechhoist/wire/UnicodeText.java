package org.beechhoist.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Iterator;
import java.util.Map;

/**
 * Checks that text is Unicode: that each surrogate is half of a pair. The parsers of CBOR and TOML let unpaired surrogates
 * through (from bytes that are not UTF-8, and from escapes), and no encoder accepts them.
 */
public final class UnicodeText {
    private UnicodeText() {}

    /** Whether each text within the tree is Unicode, the names of its fields included. */
    public static boolean isValid(JsonNode tree) {
        if (tree.isTextual()) {
            return isValid(tree.textValue());
        }
        if (tree.isObject()) {
            return areFieldsValid(tree);
        }
        if (tree.isArray()) {
            for (JsonNode element : tree) {
                if (!isValid(element)) {
                    return false;
                }
            }
        }
        return true;
    }

    private static boolean areFieldsValid(JsonNode map) {
        for (Iterator<Map.Entry<String, JsonNode>> fields = map.fields(); fields.hasNext(); ) {
            Map.Entry<String, JsonNode> field = fields.next();
            if (!isValid(field.getKey()) || !isValid(field.getValue())) {
                return false;
            }
        }
        return true;
    }

    /** Whether each surrogate in the text is half of a pair. */
    public static boolean isValid(String text) {
        int index = 0;
        while (index < text.length()) {
            int codePoint = text.codePointAt(index);
            if (codePoint >= Character.MIN_SURROGATE && codePoint <= Character.MAX_SURROGATE) {
                return false;
            }
            index += Character.charCount(codePoint);
        }
        return true;
    }
}
