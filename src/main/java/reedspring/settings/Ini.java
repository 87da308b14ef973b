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
 * An INI file that is read by what is asked of it: each key has a kind and a range, what was never asked for
 * is a fault, and all faults are told together, by line, section and key. Values are decoded once, here.
 */
public final class Ini {
    private static final Pattern SIZE = Pattern.compile("([0-9]{1,15})\\s*(B|kB|MB|GB|TB)?");
    private static final Pattern SPAN = Pattern.compile("([0-9]{1,12})\\s*(ms|s|min|h|d)");
    private static final Pattern PART = Pattern.compile("([0-9]{1,3}(?:\\.[0-9]{1,3})?)\\s*%");

    private final String name;
    private final List<String> lines;
    private final INIConfiguration file;
    private final Set<String> asked = new HashSet<>();
    private final Set<String> sections = new HashSet<>();
    private final List<String> faults = new ArrayList<>();

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

    /** Whether there is such a section; without it nothing of it is switched on. */
    public boolean has(String section) {
        sections.add(section);
        return file.getSections().contains(section);
    }

    /** All sections, in the order of the file. */
    public List<String> sections() {
        return file.getSections().stream().filter(section -> section != null).toList();
    }

    /** Any text without a comma, or {@code otherwise}. */
    public String any(String section, String key, String otherwise) {
        return text(section, key, otherwise);
    }

    /** Bytes: {@code 64MB}, by powers of 1024. */
    public long size(String section, String key, long otherwise, long least, long most) {
        return number(section, key, otherwise, least, most, text -> {
            Matcher m = SIZE.matcher(text);
            if (!m.matches()) {
                return null;
            }
            int power = m.group(2) == null ? 0 : List.of("B", "kB", "MB", "GB", "TB").indexOf(m.group(2));
            long bytes = Long.parseLong(m.group(1));
            return bytes > Long.MAX_VALUE >> 10 * power ? null : (Long) (bytes << 10 * power);
        }, "a size such as 64MB");
    }

    /** Tenths of a millisecond: {@code 30s}. */
    public long span(String section, String key, long otherwise, long least, long most) {
        return number(section, key, otherwise, least, most, text -> {
            Matcher m = SPAN.matcher(text);
            return !m.matches() ? null : (Long) (Long.parseLong(m.group(1)) * switch (m.group(2)) {
                case "ms" -> 10L;
                case "s" -> 10_000L;
                case "min" -> 600_000L;
                case "h" -> 36_000_000L;
                default -> 864_000_000L;
            });
        }, "a time such as 30s");
    }

    public long count(String section, String key, long otherwise, long least, long most) {
        return number(section, key, otherwise, least, most,
                text -> text.matches("[0-9]{1,15}") ? (Long) Long.parseLong(text) : null, "a whole number");
    }

    /** From 0 to 1: {@code 25%}. */
    public double part(String section, String key, double otherwise) {
        String text = text(section, key, null);
        if (text == null) {
            return otherwise;
        }
        Matcher m = PART.matcher(text);
        if (!m.matches() || Double.parseDouble(m.group(1)) > 100) {
            fault(section, key, "'" + text + "' is no part such as 25%");
            return otherwise;
        }
        return Double.parseDouble(m.group(1)) / 100;
    }

    private long number(String section, String key, long otherwise, long least, long most,
                        Function<String, Long> read, String wanted) {
        String text = text(section, key, null);
        if (text == null) {
            return otherwise;
        }
        Long value = read.apply(text);
        if (value == null) {
            fault(section, key, "'" + text + "' is no " + wanted.replaceFirst("^an? ", ""));
        } else if (value < least || value > most) {
            fault(section, key, "'" + text + "' is out of range");
        } else {
            return value;
        }
        return otherwise;
    }

    /** One of these words. */
    public String word(String section, String key, String otherwise, List<String> words) {
        String text = text(section, key, otherwise);
        if (text != null && !words.contains(text)) {
            fault(section, key, "'" + text + "' is none of " + String.join(", ", words));
            return otherwise;
        }
        return text;
    }

    /** A file or folder; a relative name counts from where the front was started. Null if it is not given. */
    public Path path(String section, String key, boolean wanted) {
        String text = text(section, key, null);
        if (text == null && wanted) {
            fault(section, key, "missing");
        }
        return text == null ? null : Path.of(text);
    }

    private String text(String section, String key, String otherwise) {
        asked.add(section + "." + key);
        if (!has(section)) {
            return otherwise;
        }
        List<Object> values = file.getSection(section).getList(key);
        if (values.size() > 1) {
            fault(section, key, "given " + values.size() + " times");
            return otherwise;
        }
        if (values.isEmpty()) {
            return otherwise;
        }
        String text = String.valueOf(values.get(0)).trim();
        if (text.isEmpty()) {
            fault(section, key, "empty");
            return otherwise;
        }
        return text;
    }

    public void fault(String section, String key, String what) {
        faults.add(name + " line " + line(section, key) + ": [" + section + "] " + key + ": " + what);
    }

    /** The last line that gives the key in its section, else the section's own, else 1. */
    private int line(String section, String key) {
        int found = 1;
        String in = "";
        for (int k = 0; k < lines.size(); k++) {
            String line = lines.get(k).trim();
            if (line.startsWith("[") && line.contains("]")) {
                in = line.substring(1, line.indexOf(']')).trim();
                found = in.equals(section) ? k + 1 : found;
            } else if (in.equals(section) && line.split("[=:]", 2)[0].trim().equals(key)) {
                found = k + 1;
            }
        }
        return found;
    }

    /** To be called last: throws all faults, with what nobody asked for among them. */
    public void end() throws SettingsException {
        for (String section : file.getSections()) {
            if (section == null) {
                file.getKeys().forEachRemaining(key -> {
                    if (!key.contains(".")) {
                        fault("", key, "stands before the first section");
                    }
                });
                continue;
            }
            if (!sections.contains(section)) {
                fault(section, "", "no such section");
                continue;
            }
            SubnodeConfiguration held = file.getSection(section);
            for (Iterator<String> keys = held.getKeys(); keys.hasNext(); ) {
                String key = keys.next();
                if (!asked.contains(section + "." + key)) {
                    fault(section, key.replace("..", "."), "no such key");
                }
            }
        }
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
        }
    }
}
