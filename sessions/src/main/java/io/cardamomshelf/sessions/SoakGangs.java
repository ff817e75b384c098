package io.cardamomshelf.sessions;

import io.cardamomshelf.sessions.SoakEvent.Began;
import io.cardamomshelf.sessions.SoakEvent.Ended;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells workers in different processes when all members of a gang's run are present, and when one
 * of them has ended.
 *
 * <p>Thread-safe.
 */
final class SoakGangs {

    /** Sends a command for a worker. */
    interface Commands {
        void send(String worker, String verb, Object... arguments) throws SessionException;
    }

    private final SoakHistory history;
    private final Commands commands;
    private final Map<String, List<Began>> present = new HashMap<>();

    SoakGangs(SoakHistory history, Commands commands) {
        this.history = history;
        this.commands = commands;
    }

    /** Takes an event of a worker. */
    synchronized void take(SoakEvent event) {
        if (event instanceof Began began) {
            SoakJob job = history.job(began.job());
            if (job != null && job.isGang()) {
                List<Began> members =
                        present.computeIfAbsent(
                                key(began.job(), began.run()), key -> new ArrayList<>());
                members.add(began);
                if (members.size() == job.count()) {
                    members.forEach(member -> send(member, "assemble"));
                }
            }
        } else if (event instanceof Ended ended && !ended.outcome().equals("done")) {
            String job = ended.task().substring(0, ended.task().indexOf('.'));
            List<Began> members = present.remove(key(job, ended.run()));
            if (members != null) {
                members.stream()
                        .filter(member -> !member.task().equals(ended.task()))
                        .forEach(member -> send(member, "break"));
            }
        }
    }

    private static String key(String job, long run) {
        return job + "/" + run;
    }

    private void send(Began member, String verb) {
        try {
            commands.send(member.worker(), verb, member.task(), member.run());
        } catch (SessionException e) {
            // The worker's process was killed, and the member with it.
            present.remove(key(member.job(), member.run()));
        }
    }
}
