package io.cardamomshelf.cli;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.Endpoint;
import java.util.List;

/**
 * The settings of the operators' command, from the YAML file of the option {@code --settings}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param author the operator's name, recorded in edits, not null
 * @param log the endpoint of the platform's log, not null
 * @param entries the instances' operators' endpoints, not null, may be empty
 * @param callers the callers' endpoint for jobs and requests, empty for none
 * @param token the operators' token, not null; never printed
 */
record CliSettings(String author, String log, List<String> entries, String callers, String token) {

    CliSettings {
        Checks.name("author", author);
        Endpoint.parse(Checks.notNull("log", log));
        entries = entries == null ? List.of() : List.copyOf(entries);
        entries.forEach(Endpoint::parse);
        callers = callers == null ? "" : callers;
        if (!callers.isEmpty()) {
            Endpoint.parse(callers);
        }
        Checks.notNull("token", token);
    }

    List<Endpoint> entryEndpoints() {
        return entries.stream().map(Endpoint::parse).toList();
    }

    @Override
    public String toString() {
        return "CliSettings[author=" + author + ", log=" + log + ", entries=" + entries + "]";
    }
}
