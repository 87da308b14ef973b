package reedspring.settings;

import java.util.List;

/** The settings file can't be used; the message has one line for each error. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;
    private final List<String> faults;

    SettingsException(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }

    /** One message for each error. */
    public List<String> faults() {
        return faults;
    }
}
