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
import reedspring.boot.BootException;

/** JSON as maps, lists and text. Figures stay text: each reader knows what it wants them as. */
final class Json {
    /** Deeper than any list or configuration, and far from what the small stacks hold. */
    private static final int DEEPEST = 64;
    private static final JsonFactory FACTORY = JsonFactory.builder().streamReadConstraints(
            StreamReadConstraints.builder().maxNestingDepth(DEEPEST).build()).build();

    private Json() {
    }

    /** Makes something smaller of an object as it is read: of a long list no map of each has to be held. */
    interface Element {
        Object of(Map<?, ?> object) throws BootException;
    }

    /** @throws IOException if the text is no JSON or nests deeper than the parser allows */
    static Object read(String text) throws IOException {
        try {
            return read(FACTORY.createParser(text), null, null);
        } catch (BootException e) {
            throw new IllegalStateException("nothing was made of it", e);
        }
    }

    /**
     * @param path the names, with dots between, that lead to the lists whose objects {@code each} is given
     * @throws IOException as above
     * @throws BootException where {@code each} can't use an object
     */
    static Object read(byte[] text, int length, String path, Element each) throws IOException, BootException {
        return read(FACTORY.createParser(text, 0, length), path, each);
    }

    private static Object read(JsonParser parser, String path, Element each)
            throws IOException, BootException {
        try (parser) {
            Object value = value(parser, parser.nextToken(), path == null ? null : "." + path, each);
            if (parser.nextToken() != null) {
                throw new IOException("something follows the end");
            }
            return value;
        }
    }

    /** {@code path} is what is left of it from here on, null if it leads elsewhere. */
    private static Object value(JsonParser parser, JsonToken token, String path, Element each)
            throws IOException, BootException {
        if (token == JsonToken.START_OBJECT) {
            Map<String, Object> map = new LinkedHashMap<>();
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                map.put(name, value(parser, parser.nextToken(), beyond(path, name), each));
            }
            return map;
        }
        if (token == JsonToken.START_ARRAY) {
            List<Object> list = new ArrayList<>();
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                Object element = value(parser, parser.currentToken(), path, each);
                list.add("".equals(path) && element instanceof Map<?, ?> map ? each.of(map) : element);
            }
            return list;
        }
        if (token == null) {
            throw new IOException("the text ends early");
        }
        return token == JsonToken.VALUE_NULL ? null : parser.getText();
    }

    private static String beyond(String path, String name) {
        return path != null && path.startsWith(name, 1)
                && (path.length() == name.length() + 1 || path.charAt(name.length() + 1) == '.')
                ? path.substring(name.length() + 1) : null;
    }

    static Map<?, ?> map(Object value, String field) throws BootException {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new BootException(field, value == null ? "missing" : "is no object");
    }

    static List<?> list(Object value, String field) throws BootException {
        if (value instanceof List<?> list) {
            return list;
        }
        throw new BootException(field, value == null ? "missing" : "is no list");
    }

    static String text(Map<?, ?> map, String field) throws BootException {
        Object value = map.get(field);
        if (value instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new BootException(field, value == null ? "missing" : "is no text or figure");
    }

    static long whole(Map<?, ?> map, String field, long otherwise) throws BootException {
        if (map.get(field) == null) {
            return otherwise;
        }
        try {
            return (long) Double.parseDouble(text(map, field));
        } catch (NumberFormatException e) {
            throw new BootException(field, "'" + map.get(field) + "' is no number");
        }
    }

    /** The path=value pairs of the simulator's first message, from the same settings nested. */
    static Map<String, String> flat(Map<?, ?> nested) {
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
