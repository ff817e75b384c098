package io.cardamomshelf.core;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.config.Change;
import io.cardamomshelf.core.config.ConfigState;
import io.cardamomshelf.core.config.Edit;
import io.cardamomshelf.core.config.EntryKey;
import io.cardamomshelf.core.config.Grant;
import io.cardamomshelf.core.config.Guarantee;
import io.cardamomshelf.core.config.ListValue;
import io.cardamomshelf.core.config.Plan;
import io.cardamomshelf.core.fleet.Adjacency;
import io.cardamomshelf.core.fleet.Demand;
import io.cardamomshelf.core.fleet.Worker;
import io.cardamomshelf.core.job.JobSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Values shared by several tests. */
public final class Fixtures {

    public static final DataCentreId DATA_CENTRE = DataCentreId.of("jhb-a");
    private static final int QUOTA = 100_000;

    private Fixtures() {}

    public static Worker worker(int rack, int index) {
        return worker(rack, index, 8);
    }

    public static Worker worker(int rack, int index, int accelerators) {
        WorkerId id = WorkerId.of("r" + rack + "-w" + index);
        return new Worker(id, DATA_CENTRE, "r" + rack, accelerators, 128, 512_000);
    }

    public static JobSpec spec(OrganisationId organisation, int accelerators) {
        Demand demand = new Demand(accelerators, Adjacency.DATA_CENTRE, 1, 1_000);
        return new JobSpec(organisation, demand, false, 60_000, "");
    }

    public static JobId job(int number) {
        return JobId.of("j-" + number);
    }

    /**
     * Creates a configuration in which each organisation has one plan and may use the one data
     * centre.
     */
    public static ConfigState configuration(List<OrganisationId> names, List<List<Guarantee>> guarantees) {
        List<Change> changes = new ArrayList<>();
        for (int index = 0; index < names.size(); index++) {
            Plan plan = new Plan(guarantees.get(index), QUOTA, 1);
            changes.add(add(EntryKey.plan(names.get(index)), plan));
            changes.add(add(EntryKey.grant(names.get(index)), new Grant(Set.of(DATA_CENTRE), 60)));
        }
        Edit edit = new Edit(Edit.FORMAT, "e-1", "test", changes);
        return ConfigState.EMPTY.fold(1, edit).state();
    }

    public static Change add(EntryKey key, ListValue value) {
        return new Change(key, 0, Optional.of(value));
    }
}
