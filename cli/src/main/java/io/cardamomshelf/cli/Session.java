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
 * What all subcommands share: settings, output, the log and the instances.
 *
 * <p>Not thread-safe.
 */
final class Session {

    private static final Duration TIMEOUT = Duration.ofSeconds(70);

    private final CliSettings settings;
    private final Output output;
    private final LogClient log;
    private final EntryClient entries;

    Session(Vertx vertx, CliSettings settings, Output output) {
        this.settings = settings;
        this.output = output;
        this.log = new LogClient(vertx, Endpoint.parse(settings.log()));
        this.entries = new EntryClient(vertx, settings.token());
    }

    CliSettings settings() {
        return settings;
    }

    EntryClient entries() {
        return entries;
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

    /** Folds the log up to its tail. */
    ConfigState state() throws CliException {
        return foldTo(new ConfigLog(), new ArrayList<>()).state();
    }

    /** Appends an edit and reads what the fold made of it. */
    FoldResult publish(List<Change> changes) throws CliException {
        Edit edit = new Edit(Edit.FORMAT, newEditId(), settings.author(), changes);
        Optional<CliException> unsure = append(edit);
        List<ConfigLog.FoldedEdit> folded = new ArrayList<>();
        foldTo(new ConfigLog(), folded);
        Optional<FoldResult> result =
                folded.stream()
                        .filter(one -> one.edit().id().equals(edit.id()))
                        .map(ConfigLog.FoldedEdit::result)
                        .findFirst();
        if (result.isPresent()) {
            return result.get();
        }
        throw unsure.orElseGet(
                () ->
                        new CliException(
                                ExitCode.UNKNOWN, "edit " + edit.id() + " isn't in the log"));
    }

    /** Asks every instance and keeps the answers of those that answer. */
    <T> Map<Endpoint, Optional<T>> ask(Function<Endpoint, Uni<T>> question) {
        Map<Endpoint, Optional<T>> answers = new LinkedHashMap<>();
        for (Endpoint entry : settings.entryEndpoints()) {
            Optional<T> answer =
                    question.apply(entry)
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
            return uni.onFailure().transform(Session::wrapped).await().atMost(TIMEOUT);
        } catch (RuntimeException e) {
            throw new CliException(ExitCode.UNREACHABLE, String.valueOf(e.getMessage()));
        }
    }

    private static RuntimeException wrapped(Throwable failure) {
        return new IllegalStateException(failure.getMessage(), failure);
    }

    private Optional<CliException> append(Edit edit) throws CliException {
        Throwable failure =
                log.append(LogClient.CONFIG, ConfigJson.write(edit))
                        .map(offset -> (Throwable) null)
                        .onFailure()
                        .recoverWithItem(lost -> lost)
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

    private ConfigLog foldTo(ConfigLog fold, List<ConfigLog.FoldedEdit> folded) throws CliException {
        long next;
        do {
            LogPage page = await(log.read(LogClient.CONFIG, fold.state().offset() + 1, 0));
            List<ConfigLog.LoggedRecord> records =
                    page.records().stream()
                            .map(
                                    record ->
                                            new ConfigLog.LoggedRecord(
                                                    record.offset(),
                                                    ConfigJson.readRecord(record.body())))
                            .toList();
            folded.addAll(fold.fold(page.first(), records));
            next = page.next();
            if (fold.hasGap()) {
                throw new CliException(
                        ExitCode.UNREACHABLE, "the log holds no snapshot over its expired records");
            }
        } while (fold.state().offset() + 1 < next);
        return fold;
    }

    private static String newEditId() {
        return "e-" + UUID.randomUUID();
    }
}
