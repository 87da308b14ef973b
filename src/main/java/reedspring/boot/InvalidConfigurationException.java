package reedspring.boot;

/** A start-up setting or a list of engines can't be used; the message names the field. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;
    private final String field;
    private final String reason;

    public InvalidConfigurationException(String field, String reason) {
        super(field + ": " + reason);
        this.field = field;
        this.reason = reason;
    }

    public String field() {
        return field;
    }

    public String reason() {
        return reason;
    }
}
