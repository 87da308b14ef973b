package reedspring.settings;

import java.util.List;

/** The settings file can't be used; a line for each fault. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;
    private final List<String> faults;

    SettingsException(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }

    public List<String> faults() {
        return faults;
    }
}
