package reedspring.net;

import io.netty.channel.EventLoop;
import java.io.IOException;
import reedspring.boot.InvalidConfigurationException;
import reedspring.settings.InstallationSettings;

/** Starts the optional features that an installation's settings enable, on the front's loop. */
final class Installation implements Startup.OptionalFeatures {
    private final InstallationSettings settings;

    Installation(InstallationSettings settings) {
        this.settings = settings;
    }

    @Override
    public Log.JsonLines jsonLines() {
        return settings.jsonLog() ? new JsonLog() : null;
    }

    @Override
    public boolean keepsAnswers() {
        return settings.spool() != null;
    }

    @Override
    public void install(Front front, EventLoop loop, String name) throws InvalidConfigurationException {
        if (settings.spool() != null) {
            try {
                front.setKeptAnswers(new KeptAnswers(front, loop, name, settings.spool()));
            } catch (IOException e) {
                throw new InvalidConfigurationException("[spool] folder", String.valueOf(e.getMessage()));
            }
        }
    }
}
