package io.cardamomshelf.cli;

import io.cardamomshelf.client.ConfigJson;
import io.cardamomshelf.client.EntryClient;
import io.cardamomshelf.client.LogClient;
import io.cardamomshelf.client.LogPage;
import io.cardamomshelf.client.PlatformException;
import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.config.Change;
import io.cardamomshelf.core.config.ConfigLog;
import io.cardamomshelf.core.config.ConfigState;
import io.cardamomshelf.core.config.Edit;
import io.cardamomshelf.core.config.FoldResult;
import io.cardamomshelf.core.request.Verdict;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Function;

/**
 * The settings, the output and the clients of the log and the instances, for one run of a
 * subcommand.
 *
 * <p>Not thread-safe.
 */
final class CommandContext {

    private static final Duration TIMEOUT = Duration.ofSeconds(70);

    private final CliSettings settings;
    private final Output output;
    private final LogClient logClient;
    private final EntryClient entryClient;

    CommandContext(Vertx vertx, CliSettings settings, Output output) {
        this.settings = settings;
        this.output = output;
        this.logClient = new LogClient(vertx, Endpoint.parse(settings.log()));
        this.entryClient = new EntryClient(vertx, settings.token());
    }

    CliSettings settings() {
        return settings;
    }

    EntryClient entryClient() {
        return entryClient;
    }

    boolean isJson() {
        return output.isJson();
    }

    void print(String line) {
        output.print(line);
    }

    void printJson(Object value) {
        output.printJson(value);
    }

    /** Reads the configuration stream up to its tail and returns the state in force. */
    ConfigState readState() throws CliException {
        return foldToTail(new ConfigLog(), new ArrayList<>()).state();
    }

    /**
     * Appends an edit, then reads the configuration stream and returns the result of the edit.
     *
     * @throws CliException if the log can't be reached or refuses the edit, or it remains unknown
     *     whether the edit is stored
     */
    FoldResult publish(List<Change> changes) throws CliException {
        Edit edit = new Edit(Edit.FORMAT, newEditId(), settings.author(), changes);
        Optional<CliException> unknownOutcome = append(edit);
        List<ConfigLog.FoldedEdit> folded = new ArrayList<>();
        foldToTail(new ConfigLog(), folded);
        Optional<FoldResult> result =
                folded.stream()
                        .filter(candidate -> candidate.edit().id().equals(edit.id()))
                        .map(ConfigLog.FoldedEdit::result)
                        .findFirst();
        if (result.isPresent()) {
            return result.get();
        }
        throw unknownOutcome.orElseGet(
                () ->
                        new CliException(
                                ExitCode.UNKNOWN, "edit " + edit.id() + " isn't in the log"));
    }

    /** Queries all instances in turn; the value is empty for an instance that doesn't answer. */
    <T> Map<Endpoint, Optional<T>> queryInstances(Function<Endpoint, Uni<T>> query) {
        Map<Endpoint, Optional<T>> answers = new LinkedHashMap<>();
        for (Endpoint entry : settings.entryEndpoints()) {
            Optional<T> answer =
                    query.apply(entry)
                            .map(Optional::of)
                            .onFailure()
                            .recoverWithItem(Optional.empty())
                            .await()
                            .atMost(TIMEOUT);
            answers.put(entry, answer);
        }
        return answers;
    }

    <T> T await(Uni<T> uni) throws CliException {
        try {
            return uni.onFailure().transform(CommandContext::wrapFailure).await().atMost(TIMEOUT);
        } catch (RuntimeException e) {
            throw new CliException(ExitCode.UNREACHABLE, String.valueOf(e.getMessage()));
        }
    }

    private static RuntimeException wrapFailure(Throwable failure) {
        return new IllegalStateException(failure.getMessage(), failure);
    }

    private Optional<CliException> append(Edit edit) throws CliException {
        Throwable failure =
                logClient
                        .append(LogClient.CONFIG, ConfigJson.write(edit))
                        .map(offset -> (Throwable) null)
                        .onFailure()
                        .recoverWithItem(cause -> cause)
                        .await()
                        .atMost(TIMEOUT);
        if (failure == null) {
            return Optional.empty();
        }
        if (PlatformException.verdictOf(failure) == Verdict.NOT_RUN) {
            throw new CliException(
                    ExitCode.UNREACHABLE,
                    "the log refused, nothing was changed: " + failure.getMessage());
        }
        return Optional.of(
                new CliException(
                        ExitCode.UNKNOWN,
                        "edit " + edit.id() + " may come into force yet: " + failure.getMessage()));
    }

    private ConfigLog foldToTail(ConfigLog configLog, List<ConfigLog.FoldedEdit> folded)
            throws CliException {
        long next;
        do {
            LogPage page =
                    await(logClient.read(LogClient.CONFIG, configLog.state().offset() + 1, 0));
            List<ConfigLog.LoggedRecord> records =
                    page.records().stream()
                            .map(
                                    record ->
                                            new ConfigLog.LoggedRecord(
                                                    record.offset(),
                                                    ConfigJson.readRecord(record.body())))
                            .toList();
            folded.addAll(configLog.fold(page.first(), records));
            next = page.next();
            if (configLog.hasGap()) {
                throw new CliException(
                        ExitCode.UNREACHABLE, "the log holds no snapshot over its expired records");
            }
        } while (configLog.state().offset() + 1 < next);
        return configLog;
    }

    private static String newEditId() {
        return "e-" + UUID.randomUUID();
    }
}
