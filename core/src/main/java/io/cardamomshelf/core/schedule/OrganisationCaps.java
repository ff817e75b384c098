package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.task.Resources;
import java.util.HashMap;
import java.util.Map;

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

        private Account(OrganisationLimits limits, double overage, Resources used) {
            this.cap = limits.capWithOverage(0);
            this.capWithOverage = limits.capWithOverage(overage);
            this.used = used;
        }

        private int copies(Resources demand) {
            return demand.copiesIn(cap.minus(used).minus(claimed));
        }

        private boolean canEverFit(Resources demand, int count) {
            return demand.copiesIn(capWithOverage) >= count;
        }

        /** Whether tasks that need more than the cap may use its overage, as nothing else runs. */
        private boolean mayUseOverage(Resources demand, int count) {
            return used.equals(Resources.NONE)
                    && claimed.equals(Resources.NONE)
                    && canEverFit(demand, count);
        }

        private void claim(Resources demand, int count) {
            if (canEverFit(demand, count)) {
                claimed = claimed.plusSaturated(demand.timesSaturated(count));
            }
        }
    }

    private final Map<OrganisationId, Account> accounts = new HashMap<>();
    private int waitingGroups;

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
        Resources demand = group.spec().demand();
        int unit = group.spec().gang() ? waitingCount : 1;
        int allowed = Math.min(waitingCount, account.copies(demand));
        if (allowed < unit) {
            allowed = account.mayUseOverage(demand, unit) ? unit : 0;
        }
        if (allowed < waitingCount) {
            waitingGroups++;
            account.claim(demand, unit);
        }
        return allowed;
    }

    /** Keeps the part of the cap for tasks that capacity is held or reserved for. */
    void claim(TaskGroup group, int count) {
        Account account = account(group);
        if (account != null) {
            account.claim(group.spec().demand(), count);
        }
    }

    /** Counts tasks as running from now on. */
    void recordStarts(TaskGroup group, int count) {
        Account account = account(group);
        if (account != null) {
            account.used = account.used.plusSaturated(group.spec().demand().timesSaturated(count));
        }
    }

    /** The number of groups that the round didn't start, or not as a whole, because of a cap. */
    int waitingGroups() {
        return waitingGroups;
    }

    private Account account(TaskGroup group) {
        return accounts.isEmpty() ? null : accounts.get(group.owner().job().organisation());
    }
}
