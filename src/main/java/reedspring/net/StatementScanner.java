package reedspring.net;

import io.netty.buffer.ByteBuf;
import reedspring.api.Id;

/**
 * Finds the table group of a statement: the number after the underscore in the name of the schema that it
 * reads or writes. Makes one pass over arbitrary bytes and ignores strings and comments. A qualified name
 * where tables are named, such as after {@code FROM}, takes precedence over one elsewhere, as that may start
 * with an alias.
 */
final class StatementScanner {
    private static final String[] TABLE_KEYWORDS =
            {"from", "join", "into", "update", "table", "using", "only"};
    private static final int MAX_DIGITS = 18;

    private final ByteBuf text;
    private final int textEnd;
    private int position;
    private int nameStart;
    private int nameEnd;

    private StatementScanner(ByteBuf text) {
        this.text = text;
        this.position = text.readerIndex();
        this.textEnd = text.writerIndex();
    }

    /** Returns the table group of a statement, or an unknown one if it names none. */
    static Id.DataSet findDataSet(ByteBuf text) {
        return new StatementScanner(text).scan();
    }

    private Id.DataSet scan() {
        long fallbackGroup = -1;
        boolean tableExpected = false;
        while (position < textEnd) {
            int c = text.getByte(position);
            if (c == '\'') {
                skipQuoted('\'');
                tableExpected = false;
            } else if (c == '-' && peekNext() == '-') {
                skipPast('\n', -1);
            } else if (c == '/' && peekNext() == '*') {
                position += 2;
                skipPast('*', '/');
            } else if (c == '"' || c == '`' || isNameStart(c)) {
                boolean unquoted = isNameStart(c);
                readName(c);
                int partStart = nameStart;
                int partEnd = nameEnd;
                if (!skipDot()) {
                    tableExpected = unquoted && isTableKeyword(partStart, partEnd);
                    continue;
                }
                long group = groupNumber(partStart, partEnd);
                // In a name of more than two parts, the schema is the part before the last dot.
                while (position < textEnd && (text.getByte(position) == '"' || text.getByte(position) == '`'
                        || isNameStart(text.getByte(position)))) {
                    readName(text.getByte(position));
                    partStart = nameStart;
                    partEnd = nameEnd;
                    if (!skipDot()) {
                        break;
                    }
                    group = groupNumber(partStart, partEnd);
                }
                if (group >= 0 && tableExpected) {
                    return new Id.DataSet(group);
                }
                fallbackGroup = fallbackGroup < 0 ? group : fallbackGroup;
                tableExpected = false;
            } else {
                tableExpected &= isWhitespace(c) || c == '(';
                position++;
            }
        }
        return fallbackGroup < 0 ? Id.DataSet.UNKNOWN : new Id.DataSet(fallbackGroup);
    }

    private int peekNext() {
        return position + 1 < textEnd ? text.getByte(position + 1) : -1;
    }

    /** Skips a quoted text, in which the quote itself is escaped by doubling it. */
    private void skipQuoted(int quote) {
        for (position++; position < textEnd; position++) {
            if (text.getByte(position) == quote) {
                if (peekNext() != quote) {
                    break;
                }
                position++;
            }
        }
        position = Math.min(textEnd, position + 1);
    }

    /** Skips past the next occurrence of two bytes, or of one if {@code second} is negative. */
    private void skipPast(int first, int second) {
        while (position < textEnd
                && (text.getByte(position) != first || second >= 0 && peekNext() != second)) {
            position++;
        }
        position = Math.min(textEnd, position + (second < 0 ? 1 : 2));
    }

    /** Reads one part of a name and sets its bounds, without quotes. */
    private void readName(int first) {
        if (first == '"' || first == '`') {
            nameStart = position + 1;
            skipQuoted(first);
            nameEnd = Math.max(nameStart, position - 1);
        } else {
            nameStart = position;
            while (position < textEnd
                    && (isNameStart(text.getByte(position)) || isDigit(text.getByte(position)))) {
                position++;
            }
            nameEnd = position;
        }
    }

    /** Skips a dot between parts of a name and the whitespace around it; returns false if there is none. */
    private boolean skipDot() {
        int index = position;
        while (index < textEnd && isWhitespace(text.getByte(index))) {
            index++;
        }
        if (index == textEnd || text.getByte(index) != '.') {
            return false;
        }
        position = index + 1;
        while (position < textEnd && isWhitespace(text.getByte(position))) {
            position++;
        }
        return true;
    }

    /** Returns the number after the last underscore of a name, or -1. */
    private long groupNumber(int start, int end) {
        int digitsStart = end;
        while (digitsStart > start && isDigit(text.getByte(digitsStart - 1))) {
            digitsStart--;
        }
        if (digitsStart == end || end - digitsStart > MAX_DIGITS || digitsStart - 1 <= start
                || text.getByte(digitsStart - 1) != '_') {
            return -1;
        }
        long number = 0;
        for (int k = digitsStart; k < end; k++) {
            number = number * 10 + text.getByte(k) - '0';
        }
        return number;
    }

    private boolean isTableKeyword(int start, int end) {
        for (String keyword : TABLE_KEYWORDS) {
            boolean equal = keyword.length() == end - start;
            for (int k = 0; equal && k < keyword.length(); k++) {
                equal = (text.getByte(start + k) | 0x20) == keyword.charAt(k);
            }
            if (equal) {
                return true;
            }
        }
        return false;
    }

    private static boolean isNameStart(int c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c < 0;
    }

    private static boolean isDigit(int c) {
        return c >= '0' && c <= '9';
    }

    private static boolean isWhitespace(int c) {
        return c == ' ' || c == '\n' || c == '\t' || c == '\r' || c == '\f';
    }
}
