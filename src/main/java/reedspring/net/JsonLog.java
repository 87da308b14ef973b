package reedspring.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Instant;
import org.tinylog.configuration.Configuration;

/**
 * One JSON object a line: {@code at}, {@code level}, {@code event}, and where there is one {@code detail}.
 */
final class JsonLog implements Log.JsonLines {
    private final JsonFactory json = new JsonFactory();

    /** Has to be made before the first line is written: from then on the format stands. */
    JsonLog() {
        Configuration.set("writer.format", "{message}");
    }

    @Override
    public String line(String level, String event, String detail, int more) {
        StringWriter out = new StringWriter();
        try (JsonGenerator line = json.createGenerator(out)) {
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
        return out.toString();
    }
}
