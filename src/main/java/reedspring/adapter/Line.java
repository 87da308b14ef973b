package reedspring.adapter;

import java.util.LinkedHashMap;
import java.util.Map;

/** One line of a frame: a name followed by name=value fields, separated by spaces. */
final class Line {
    private final String text;
    private final long lineNumber;
    private final int[] fieldStarts = new int[16];
    private final int nameEnd;
    private int fieldCount;

    Line(String text, long lineNumber) throws WireException {
        this.text = text;
        this.lineNumber = lineNumber;
        int space = text.indexOf(' ');
        nameEnd = space < 0 ? text.length() : space;
        if (nameEnd == 0) {
            throw new WireException(lineNumber, "line has no name");
        }
        for (int index = nameEnd; index < text.length() && fieldCount < fieldStarts.length;
                index = text.indexOf(' ', index + 1)) {
            if (index < 0) {
                break;
            }
            fieldStarts[fieldCount++] = index + 1;
        }
    }

    boolean hasName(String name) {
        return name.length() == nameEnd && text.startsWith(name);
    }

    String name() {
        return text.substring(0, nameEnd);
    }

    WireException malformed(String field, String reason) {
        return new WireException(lineNumber, name() + " " + field + ": " + reason);
    }

    /** The value of a field among the first 16, or null if it is absent. */
    String find(String field) {
        for (int k = 0; k < fieldCount; k++) {
            int start = fieldStarts[k];
            int equalsAt = start + field.length();
            if (equalsAt < text.length() && text.charAt(equalsAt) == '=' && text.startsWith(field, start)) {
                int end = text.indexOf(' ', equalsAt);
                return text.substring(equalsAt + 1, end < 0 ? text.length() : end);
            }
        }
        return null;
    }

    String text(String field) throws WireException {
        String value = find(field);
        if (value == null || value.isEmpty()) {
            throw malformed(field, "missing");
        }
        return value;
    }

    long integer(String field) throws WireException {
        return integer(field, text(field));
    }

    long integer(String field, String value) throws WireException {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw malformed(field, "'" + value + "' is not an integer");
        }
    }

    double number(String field) throws WireException {
        return number(field, text(field));
    }

    double number(String field, double defaultValue) throws WireException {
        String value = find(field);
        return value == null ? defaultValue : number(field, value);
    }

    double number(String field, String value) throws WireException {
        try {
            double parsed = Double.parseDouble(value);
            if (!Double.isInfinite(parsed) && !Double.isNaN(parsed)) {
                return parsed;
            }
        } catch (NumberFormatException e) {
            // reported below, like infinity and NaN
        }
        throw malformed(field, "'" + value + "' is not a number");
    }

    boolean flag(String field) throws WireException {
        String value = find(field);
        if (value == null || value.equals("0")) {
            return false;
        }
        if (value.equals("1")) {
            return true;
        }
        throw malformed(field, "'" + value + "' is neither 0 nor 1");
    }

    /** All fields by name; not limited in number, unlike {@link #find}. */
    Map<String, String> allFields() throws WireException {
        Map<String, String> pairs = new LinkedHashMap<>();
        for (int index = nameEnd; index >= 0 && index < text.length(); ) {
            int end = text.indexOf(' ', index + 1);
            String pair = text.substring(index + 1, end < 0 ? text.length() : end);
            int equals = pair.indexOf('=');
            if (equals > 0) {
                pairs.put(pair.substring(0, equals), pair.substring(equals + 1));
            } else if (!pair.isEmpty()) {
                throw malformed(pair, "not a name=value pair");
            }
            index = end;
        }
        return pairs;
    }
}
