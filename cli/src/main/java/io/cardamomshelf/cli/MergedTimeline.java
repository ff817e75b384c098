package io.cardamomshelf.cli;

import io.cardamomshelf.client.OperatorViews;
import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.event.Event;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The events of all instances that answer, merged into one order.
 *
 * <p>Immutable and thread-safe.
 *
 * @param events the events, oldest first, not null
 * @param missing the instances that don't answer, not null
 */
record MergedTimeline(List<Event> events, List<Endpoint> missing) {

    MergedTimeline {
        events = List.copyOf(events);
        missing = List.copyOf(missing);
    }

    /** Reads the events about a subject from every instance; all events if the subject is empty. */
    static MergedTimeline of(CommandContext context, String subject) {
        Map<Endpoint, Optional<OperatorViews.Timeline>> answers =
                context.queryInstances(entry -> context.entryClient().timeline(entry, subject));
        List<Event> merged =
                answers.values().stream()
                        .flatMap(Optional::stream)
                        .flatMap(timeline -> timeline.events().stream())
                        .map(OperatorViews.EventView::toEvent)
                        .sorted(Event.TIMELINE_ORDER)
                        .toList();
        List<Endpoint> missing =
                answers.entrySet().stream()
                        .filter(answer -> answer.getValue().isEmpty())
                        .map(Map.Entry::getKey)
                        .toList();
        return new MergedTimeline(merged, missing);
    }

    void printMissing(CommandContext context) {
        missing.forEach(entry -> context.print("missing: " + entry + " doesn't answer"));
    }
}
