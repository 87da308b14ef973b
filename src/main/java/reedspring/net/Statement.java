package reedspring.net;

import io.netty.buffer.ByteBuf;
import reedspring.api.Id;

/**
 * Finds the table group of a statement: the number behind the underscore in the name of the schema that it
 * reads or writes. One pass over any bytes; what stands in strings and comments is no name. A name where a
 * statement names tables (behind {@code FROM}, say) goes before one elsewhere, which may be an alias.
 */
final class Statement {
    private static final String[] BEFORE_TABLES =
            {"from", "join", "into", "update", "table", "using", "only"};
    private static final int DIGITS = 18;

    private final ByteBuf text;
    private final int end;
    private int at;
    private int nameFrom;
    private int nameTo;

    private Statement(ByteBuf text) {
        this.text = text;
        this.at = text.readerIndex();
        this.end = text.writerIndex();
    }

    static Id.DataSet dataSet(ByteBuf text) {
        return new Statement(text).find();
    }

    private Id.DataSet find() {
        long elsewhere = -1;
        boolean tableComes = false;
        while (at < end) {
            int c = text.getByte(at);
            if (c == '\'') {
                quoted('\'');
                tableComes = false;
            } else if (c == '-' && next() == '-') {
                skipTo('\n', -1);
            } else if (c == '/' && next() == '*') {
                at += 2;
                skipTo('*', '/');
            } else if (c == '"' || c == '`' || letter(c)) {
                boolean plain = letter(c);
                name(c);
                int from = nameFrom;
                int to = nameTo;
                if (!dotFollows()) {
                    tableComes = plain && beforeTables(from, to);
                    continue;
                }
                long group = group(from, to);
                // Of a longer name the part before the last dot is the schema.
                while (at < end && (text.getByte(at) == '"' || text.getByte(at) == '`'
                        || letter(text.getByte(at)))) {
                    name(text.getByte(at));
                    from = nameFrom;
                    to = nameTo;
                    if (!dotFollows()) {
                        break;
                    }
                    group = group(from, to);
                }
                if (group >= 0 && tableComes) {
                    return new Id.DataSet(group);
                }
                elsewhere = elsewhere < 0 ? group : elsewhere;
                tableComes = false;
            } else {
                tableComes &= space(c) || c == '(';
                at++;
            }
        }
        return elsewhere < 0 ? Id.DataSet.UNKNOWN : new Id.DataSet(elsewhere);
    }

    private int next() {
        return at + 1 < end ? text.getByte(at + 1) : -1;
    }

    /** Past a quoted text in which the quote itself stands doubled. */
    private void quoted(int quote) {
        for (at++; at < end; at++) {
            if (text.getByte(at) == quote) {
                if (next() != quote) {
                    break;
                }
                at++;
            }
        }
        at = Math.min(end, at + 1);
    }

    private void skipTo(int first, int second) {
        while (at < end && (text.getByte(at) != first || second >= 0 && next() != second)) {
            at++;
        }
        at = Math.min(end, at + (second < 0 ? 1 : 2));
    }

    private void name(int first) {
        if (first == '"' || first == '`') {
            nameFrom = at + 1;
            quoted(first);
            nameTo = Math.max(nameFrom, at - 1);
        } else {
            nameFrom = at;
            while (at < end && (letter(text.getByte(at)) || digit(text.getByte(at)))) {
                at++;
            }
            nameTo = at;
        }
    }

    /** Passes the dot between two parts of a name and the space round it. */
    private boolean dotFollows() {
        int look = at;
        while (look < end && space(text.getByte(look))) {
            look++;
        }
        if (look == end || text.getByte(look) != '.') {
            return false;
        }
        at = look + 1;
        while (at < end && space(text.getByte(at))) {
            at++;
        }
        return true;
    }

    private long group(int from, int to) {
        int digits = to;
        while (digits > from && digit(text.getByte(digits - 1))) {
            digits--;
        }
        if (digits == to || to - digits > DIGITS || digits - 1 <= from || text.getByte(digits - 1) != '_') {
            return -1;
        }
        long number = 0;
        for (int k = digits; k < to; k++) {
            number = number * 10 + text.getByte(k) - '0';
        }
        return number;
    }

    private boolean beforeTables(int from, int to) {
        for (String word : BEFORE_TABLES) {
            boolean same = word.length() == to - from;
            for (int k = 0; same && k < word.length(); k++) {
                same = (text.getByte(from + k) | 0x20) == word.charAt(k);
            }
            if (same) {
                return true;
            }
        }
        return false;
    }

    private static boolean letter(int c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c < 0;
    }

    private static boolean digit(int c) {
        return c >= '0' && c <= '9';
    }

    private static boolean space(int c) {
        return c == ' ' || c == '\n' || c == '\t' || c == '\r' || c == '\f';
    }
}
