package reedspring.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Instant;
import org.tinylog.configuration.Configuration;

/**
 * Formats a log line as a JSON object with {@code at}, {@code level} and {@code event}, {@code detail} if the
 * line has one, and {@code more} for the number of suppressed lines.
 */
final class JsonLog implements Log.JsonLines {
    private final JsonFactory json = new JsonFactory();

    /** Must be created before the first line is logged: tinylog fixes its format then. */
    JsonLog() {
        Configuration.set("writer.format", "{message}");
    }

    @Override
    public String line(String level, String event, String detail, int more) {
        StringWriter buffer = new StringWriter();
        try (JsonGenerator line = json.createGenerator(buffer)) {
            line.writeStartObject();
            line.writeStringField("at", Instant.now().toString());
            line.writeStringField("level", level);
            line.writeStringField("event", event);
            if (!detail.isEmpty()) {
                line.writeStringField("detail", detail);
            }
            if (more > 0) {
                line.writeNumberField("more", more);
            }
            line.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return buffer.toString();
    }
}
