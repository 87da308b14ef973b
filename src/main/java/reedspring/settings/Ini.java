package reedspring.settings;

import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * A validating INI reader. Callers request each key with its type and range; a key that was never requested
 * is an error. All errors are collected and reported together, with line, section and key.
 */
public final class Ini {
    private static final Pattern SIZE = Pattern.compile("([0-9]{1,15})\\s*(B|kB|MB|GB|TB)?");
    private static final Pattern DURATION = Pattern.compile("([0-9]{1,12})\\s*(ms|s|min|h|d)");
    private static final Pattern PERCENTAGE = Pattern.compile("([0-9]{1,3}(?:\\.[0-9]{1,3})?)\\s*%");

    private final String name;
    private final List<String> lines;
    private final INIConfiguration file;
    private final Set<String> requestedKeys = new HashSet<>();
    private final Set<String> sections = new HashSet<>();
    private final List<String> faults = new ArrayList<>();

    /** Reads and parses the file; {@link #finish} completes the validation. */
    public Ini(Path path) throws SettingsException {
        name = path.getFileName().toString();
        file = new INIConfiguration();
        try {
            String text = Files.readString(path, StandardCharsets.UTF_8);
            lines = text.lines().toList();
            file.read(new StringReader(text));
        } catch (IOException e) {
            throw new SettingsException(List.of(path + " can't be read: " + e.getMessage()));
        } catch (ConfigurationException e) {
            throw new SettingsException(List.of(name + ": " + e.getMessage()));
        }
    }

    /** Whether the file has the section. A feature whose section is absent stays disabled. */
    public boolean has(String section) {
        sections.add(section);
        return file.getSections().contains(section);
    }

    /** Names of all sections, in the order of the file. */
    public List<String> sections() {
        return file.getSections().stream().filter(section -> section != null).toList();
    }

    /** Any text without a comma; {@code defaultValue} if absent. */
    public String any(String section, String key, String defaultValue) {
        return text(section, key, defaultValue);
    }

    /** A size such as {@code 64MB} in bytes; units are powers of 1024. */
    public long size(String section, String key, long defaultValue, long minimum, long maximum) {
        return number(section, key, defaultValue, minimum, maximum, text -> {
            Matcher m = SIZE.matcher(text);
            if (!m.matches()) {
                return null;
            }
            int power = m.group(2) == null ? 0 : List.of("B", "kB", "MB", "GB", "TB").indexOf(m.group(2));
            long bytes = Long.parseLong(m.group(1));
            return bytes > Long.MAX_VALUE >> 10 * power ? null : (Long) (bytes << 10 * power);
        }, "a size such as 64MB");
    }

    /** A duration such as {@code 30s}, in ticks; one tick is a tenth of a millisecond. */
    public long duration(String section, String key, long defaultValue, long minimum, long maximum) {
        return number(section, key, defaultValue, minimum, maximum, text -> {
            Matcher m = DURATION.matcher(text);
            return !m.matches() ? null : (Long) (Long.parseLong(m.group(1)) * switch (m.group(2)) {
                case "ms" -> 10L;
                case "s" -> 10_000L;
                case "min" -> 600_000L;
                case "h" -> 36_000_000L;
                default -> 864_000_000L;
            });
        }, "a time such as 30s");
    }

    /** A whole number. */
    public long count(String section, String key, long defaultValue, long minimum, long maximum) {
        return number(section, key, defaultValue, minimum, maximum,
                text -> text.matches("[0-9]{1,15}") ? (Long) Long.parseLong(text) : null, "a whole number");
    }

    /** A percentage such as {@code 25%}, as a ratio from 0 to 1. */
    public double percentage(String section, String key, double defaultValue) {
        String text = text(section, key, null);
        if (text == null) {
            return defaultValue;
        }
        Matcher m = PERCENTAGE.matcher(text);
        if (!m.matches() || Double.parseDouble(m.group(1)) > 100) {
            fault(section, key, "'" + text + "' is not a percentage such as 25%");
            return defaultValue;
        }
        return Double.parseDouble(m.group(1)) / 100;
    }

    private long number(String section, String key, long defaultValue, long minimum, long maximum,
                        Function<String, Long> parser, String expected) {
        String text = text(section, key, null);
        if (text == null) {
            return defaultValue;
        }
        Long value = parser.apply(text);
        if (value == null) {
            fault(section, key, "'" + text + "' is not a " + expected.replaceFirst("^an? ", ""));
        } else if (value < minimum || value > maximum) {
            fault(section, key, "'" + text + "' is out of range");
        } else {
            return value;
        }
        return defaultValue;
    }

    /** One of the given choices. */
    public String choice(String section, String key, String defaultValue, List<String> choices) {
        String text = text(section, key, defaultValue);
        if (text != null && !choices.contains(text)) {
            fault(section, key, "'" + text + "' is not one of " + String.join(", ", choices));
            return defaultValue;
        }
        return text;
    }

    /** A path, relative to the working directory of the front; null if the key is absent. */
    public Path path(String section, String key, boolean required) {
        String text = text(section, key, null);
        if (text == null && required) {
            fault(section, key, "missing");
        }
        return text == null ? null : Path.of(text);
    }

    private String text(String section, String key, String defaultValue) {
        requestedKeys.add(section + "." + key);
        if (!has(section)) {
            return defaultValue;
        }
        List<Object> values = file.getSection(section).getList(key);
        if (values.size() > 1) {
            fault(section, key, "given " + values.size() + " times");
            return defaultValue;
        }
        if (values.isEmpty()) {
            return defaultValue;
        }
        String text = String.valueOf(values.get(0)).trim();
        if (text.isEmpty()) {
            fault(section, key, "empty");
            return defaultValue;
        }
        return text;
    }

    /** Adds an error about a key; an empty key stands for the section. */
    public void fault(String section, String key, String message) {
        faults.add(name + " line " + line(section, key) + ": [" + section + "] " + key + ": " + message);
    }

    /** Number of the last line with the key in its section, else of the section's header, else 1. */
    private int line(String section, String key) {
        int found = 1;
        String currentSection = "";
        for (int k = 0; k < lines.size(); k++) {
            String line = lines.get(k).trim();
            if (line.startsWith("[") && line.contains("]")) {
                currentSection = line.substring(1, line.indexOf(']')).trim();
                found = currentSection.equals(section) ? k + 1 : found;
            } else if (currentSection.equals(section) && line.split("[=:]", 2)[0].trim().equals(key)) {
                found = k + 1;
            }
        }
        return found;
    }

    /**
     * Ends the validation; has to be called last.
     *
     * @throws SettingsException with all errors, including sections and keys that were never requested
     */
    public void finish() throws SettingsException {
        for (String section : file.getSections()) {
            if (section == null) {
                file.getKeys().forEachRemaining(key -> {
                    if (!key.contains(".")) {
                        fault("", key, "precedes the first section");
                    }
                });
                continue;
            }
            if (!sections.contains(section)) {
                fault(section, "", "unknown section");
                continue;
            }
            SubnodeConfiguration sectionNode = file.getSection(section);
            for (Iterator<String> keys = sectionNode.getKeys(); keys.hasNext(); ) {
                String key = keys.next();
                if (!requestedKeys.contains(section + "." + key)) {
                    fault(section, key.replace("..", "."), "unknown key");
                }
            }
        }
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
        }
    }
}
