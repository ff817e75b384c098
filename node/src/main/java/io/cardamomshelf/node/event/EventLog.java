package io.cardamomshelf.node.event;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Builds and writes the log line of one event, with its number, name and fields.
 *
 * <p>Use: {@code EventLog.of(NodeEvent.RUN_ENDED).with("task", task).with("end", end).write()}.
 *
 * <p>Limits: the platform's logging configuration drops lines instead of blocking if the output is
 * too slow. Each object is for one line. Not thread-safe.
 */
public final class EventLog {

    private static final Logger LOGGER = LoggerFactory.getLogger("cardamomshelf");

    private final NodeEvent event;
    private LoggingEventBuilder line;

    private EventLog(NodeEvent event) {
        this.event = event;
        this.line = LOGGER.atInfo();
    }

    /**
     * Begins the log line of an event.
     *
     * @param event the event, not null
     * @return the line, never null
     */
    public static EventLog of(NodeEvent event) {
        return new EventLog(event);
    }

    /**
     * Adds a field.
     *
     * @param name its name, not null
     * @param value its value; null is written as the text {@code null}
     * @return this line
     */
    public EventLog with(String name, Object value) {
        line = line.addKeyValue(name, value instanceof Number ? value : String.valueOf(value));
        return this;
    }

    /** Writes the line. */
    public void write() {
        line.addKeyValue("event", event.number()).log(event.name());
    }
}
