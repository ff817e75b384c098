package io.cardamomshelf.standin.platform;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.stream.Collectors;

/**
 * Prints the events of workers, one a line.
 *
 * <p>Thread-safe.
 */
final class EventPrinter implements WorkerListener {

    private final PrintStream out;

    EventPrinter(PrintStream out) {
        this.out = out;
    }

    @Override
    public void up(String worker, long bornMillis) {
        print("up", worker, bornMillis);
    }

    @Override
    public void leased(String worker, long untilMillis) {
        print("leased", worker, untilMillis);
    }

    @Override
    public void began(String worker, Start start) {
        print(
                "began",
                worker,
                start.task(),
                start.run(),
                start.spec(),
                start.token(),
                start.caller());
    }

    @Override
    public void ended(String worker, String task, long run, String outcome, long number) {
        print("ended", worker, task, run, outcome, number);
    }

    @Override
    public void acknowledged(String worker, long number) {
        print("acknowledged", worker, number);
    }

    @Override
    public void called(String worker, String caller, long token) {
        print("called", worker, caller, token);
    }

    private void print(Object... fields) {
        out.println(
                System.currentTimeMillis()
                        + "\t"
                        + Arrays.stream(fields)
                                .map(String::valueOf)
                                .collect(Collectors.joining("\t")));
    }
}
