package reedspring.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reedspring.boot.InvalidConfigurationException;

/** Parses JSON into maps, lists and strings. Numbers stay strings; the callers convert them as needed. */
final class Json {
    /** Deeper than any list or configuration, but safe for the small thread stacks. */
    private static final int MAX_NESTING_DEPTH = 64;
    private static final JsonFactory FACTORY = JsonFactory.builder().streamReadConstraints(
            StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build()).build();

    private Json() {
    }

    /** Converts each object of a list as it is parsed, so that a long list doesn't hold a map per element. */
    interface ElementMapper {
        Object map(Map<?, ?> object) throws InvalidConfigurationException;
    }

    /** @throws IOException if the text is not JSON or is nested too deeply */
    static Object read(String text) throws IOException {
        try {
            return read(FACTORY.createParser(text), null, null);
        } catch (InvalidConfigurationException e) {
            throw new IllegalStateException("no mapper was given", e);
        }
    }

    /**
     * @param path dotted path to the lists whose objects {@code mapper} converts
     * @throws IOException as above
     * @throws InvalidConfigurationException if {@code mapper} rejects an object
     */
    static Object read(byte[] text, int length, String path, ElementMapper mapper)
            throws IOException, InvalidConfigurationException {
        return read(FACTORY.createParser(text, 0, length), path, mapper);
    }

    private static Object read(JsonParser parser, String path, ElementMapper mapper)
            throws IOException, InvalidConfigurationException {
        try (parser) {
            Object value = parseValue(parser, parser.nextToken(), path == null ? null : "." + path, mapper);
            if (parser.nextToken() != null) {
                throw new IOException("unexpected text after the end of the document");
            }
            return value;
        }
    }

    /** Parses a value. {@code path} is the path that remains from here, null if the value is not on it. */
    private static Object parseValue(JsonParser parser, JsonToken token, String path, ElementMapper mapper)
            throws IOException, InvalidConfigurationException {
        if (token == JsonToken.START_OBJECT) {
            Map<String, Object> map = new LinkedHashMap<>();
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                map.put(name, parseValue(parser, parser.nextToken(), remainingPath(path, name), mapper));
            }
            return map;
        }
        if (token == JsonToken.START_ARRAY) {
            List<Object> list = new ArrayList<>();
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                Object element = parseValue(parser, parser.currentToken(), path, mapper);
                list.add("".equals(path) && element instanceof Map<?, ?> map ? mapper.map(map) : element);
            }
            return list;
        }
        if (token == null) {
            throw new IOException("unexpected end of the document");
        }
        return token == JsonToken.VALUE_NULL ? null : parser.getText();
    }

    private static String remainingPath(String path, String name) {
        return path != null && path.startsWith(name, 1)
                && (path.length() == name.length() + 1 || path.charAt(name.length() + 1) == '.')
                ? path.substring(name.length() + 1) : null;
    }

    static Map<?, ?> map(Object value, String field) throws InvalidConfigurationException {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new InvalidConfigurationException(field, value == null ? "missing" : "is not an object");
    }

    static List<?> list(Object value, String field) throws InvalidConfigurationException {
        if (value instanceof List<?> list) {
            return list;
        }
        throw new InvalidConfigurationException(field, value == null ? "missing" : "is not a list");
    }

    static String text(Map<?, ?> map, String field) throws InvalidConfigurationException {
        Object value = map.get(field);
        if (value instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new InvalidConfigurationException(field, value == null ? "missing"
                : "is not a string or number");
    }

    static long wholeNumber(Map<?, ?> map, String field, long defaultValue)
            throws InvalidConfigurationException {
        if (map.get(field) == null) {
            return defaultValue;
        }
        try {
            return (long) Double.parseDouble(text(map, field));
        } catch (NumberFormatException e) {
            throw new InvalidConfigurationException(field, "'" + map.get(field) + "' is not a number");
        }
    }

    /** Flattens nested settings into the path=value pairs that the simulator's first message uses. */
    static Map<String, String> toPairs(Map<?, ?> nested) {
        Map<String, String> pairs = new LinkedHashMap<>();
        flatten("", nested, pairs);
        return pairs;
    }

    private static void flatten(String path, Object value, Map<String, String> pairs) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((name, inner) -> flatten(path.isEmpty() ? name.toString() : path + "." + name, inner,
                    pairs));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            pairs.put(path + ".count", String.valueOf(list.size()));
            for (int k = 0; k < list.size(); k++) {
                flatten(path + "." + k, list.get(k), pairs);
            }
        } else if (value instanceof List<?> list) {
            pairs.put(path, String.join(",", list.stream().map(String::valueOf).toList()));
        } else if (value != null) {
            pairs.put(path, value.toString());
        }
    }
}
