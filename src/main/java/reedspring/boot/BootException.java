package reedspring.boot;

/** What a front was told at its start can't be used; the message names the field. */
public final class BootException extends Exception {
    private static final long serialVersionUID = 1L;
    private final String field;
    private final String why;

    public BootException(String field, String why) {
        super(field + ": " + why);
        this.field = field;
        this.why = why;
    }

    public String field() {
        return field;
    }

    public String why() {
        return why;
    }
}
