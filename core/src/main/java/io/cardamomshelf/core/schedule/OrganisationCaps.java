package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.task.Resources;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Decides in one round how many waiting tasks may start under the caps of their organisations.
 *
 * <p>A start must not bring an organisation's usage above its cap. The usage includes all that may
 * be running, see {@link OrganisationUsage}. Tasks that start together and need more than the cap,
 * but not more than the cap with the configured overage, start while nothing else of the
 * organisation may be running.
 *
 * <p>The jobs of an organisation use its cap in placement order. What waits for the cap, or for
 * capacity that is held or reserved for it, claims its part of the cap, so that work behind it
 * can't keep it waiting. Work that could never start under the cap claims nothing.
 *
 * <p>Created for each round. Organisations without a cap cost nothing.
 */
final class OrganisationCaps {

    private static final class Account {

        private final Resources cap;
        private final Resources capWithOverage;
        private Resources used;
        private Resources claimed = Resources.NONE;
        private final Map<TaskGroup, Resources> claims = new HashMap<>();

        private Account(OrganisationLimits limits, double overage, Resources used) {
            this.cap = limits.capWithOverage(0);
            this.capWithOverage = limits.capWithOverage(overage);
            this.used = limited(used);
        }

        /** The parts of an amount that the cap limits; others never matter. */
        private Resources limited(Resources amount) {
            return new Resources(
                    cap.cpuMillis() == Long.MAX_VALUE ? 0 : amount.cpuMillis(),
                    cap.memoryMb() == Long.MAX_VALUE ? 0 : amount.memoryMb(),
                    cap.accelerators() == Integer.MAX_VALUE ? 0 : amount.accelerators());
        }

        /** How many tasks fit under the cap, beside the claims of other groups. */
        private int copies(TaskGroup group, Resources demand) {
            return demand.copiesIn(cap.minus(used).minus(claimedByOthers(group)));
        }

        private Resources claimedByOthers(TaskGroup group) {
            return claimed.minus(claims.getOrDefault(group, Resources.NONE));
        }

        private boolean canEverFit(Resources demand, int count) {
            return demand.copiesIn(capWithOverage) >= count;
        }

        /** Whether tasks that need more than the cap may use its overage, as nothing else runs. */
        private boolean mayUseOverage(TaskGroup group, Resources demand, int count) {
            return used.equals(Resources.NONE)
                    && claimedByOthers(group).equals(Resources.NONE)
                    && canEverFit(demand, count);
        }

        private void claim(TaskGroup group, Resources demand, int count) {
            if (canEverFit(demand, count)) {
                Resources amount = demand.timesSaturated(count);
                claimed = claimedByOthers(group).plusSaturated(amount);
                claims.put(group, amount);
            }
        }
    }

    private final Map<OrganisationId, Account> accounts = new HashMap<>();
    private final Set<TaskGroup> waitingGroups = new HashSet<>();

    /**
     * Creates the caps of one round.
     *
     * @param overage the fraction of its cap by which an organisation may exceed it
     */
    OrganisationCaps(
            Map<OrganisationId, OrganisationLimits> limits,
            double overage,
            OrganisationUsage usage) {
        limits.forEach(
                (organisation, limit) -> {
                    if (limit.hasCap()) {
                        accounts.put(
                                organisation, new Account(limit, overage, usage.of(organisation)));
                    }
                });
    }

    /**
     * Returns how many of a group's waiting tasks may start: all or none of a gang. If that is less
     * than all, the group claims the part of the cap that its next start needs.
     */
    int allowedTasks(TaskGroup group, int waitingCount) {
        Account account = account(group);
        if (account == null) {
            return waitingCount;
        }
        Resources demand = account.limited(group.spec().demand());
        int unit = group.spec().gang() ? waitingCount : 1;
        int allowed = Math.min(waitingCount, account.copies(group, demand));
        if (allowed < unit) {
            allowed = account.mayUseOverage(group, demand, unit) ? unit : 0;
        }
        if (allowed < waitingCount) {
            waitingGroups.add(group);
            account.claim(group, demand, unit);
        }
        return allowed;
    }

    /** Keeps the part of the cap for tasks that capacity is held or reserved for. */
    void claim(TaskGroup group, int count) {
        Account account = account(group);
        if (account != null) {
            account.claim(group, account.limited(group.spec().demand()), count);
        }
    }

    /** Counts tasks as running from now on. */
    void recordStarts(TaskGroup group, int count) {
        Account account = account(group);
        if (account != null) {
            Resources demand = account.limited(group.spec().demand());
            account.used = account.used.plusSaturated(demand.timesSaturated(count));
        }
    }

    /** The number of groups that the round didn't start, or not as a whole, because of a cap. */
    int waitingGroups() {
        return waitingGroups.size();
    }

    private Account account(TaskGroup group) {
        return accounts.isEmpty() ? null : accounts.get(group.owner().job().organisation());
    }
}
