package io.cardamomshelf.entry;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.InstanceId;
import io.cardamomshelf.entry.settings.Settings;
import java.util.UUID;

/**
 * The identity of this process: its name in the list, and the id of this run of it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the instance's name in the platform's list, not null
 * @param runId the id of this run; a restarted process has another, not null
 * @param dataCentre its data centre, not null
 * @param region the data centre's region, not null
 */
record InstanceIdentity(String name, InstanceId runId, DataCentreId dataCentre, String region) {

    private static final int ID_BYTES = 8;
    private static final int MAX_PREFIX_LENGTH = 50;

    static InstanceIdentity of(Settings settings) {
        String prefix = settings.instance();
        prefix = prefix.substring(0, Math.min(MAX_PREFIX_LENGTH, prefix.length()));
        InstanceId runId = InstanceId.of(prefix + "." + uniqueId());
        return new InstanceIdentity(
                settings.instance(), runId, settings.dataCentre(), settings.region());
    }

    /** Returns a random id that is unique among all instances. */
    static String uniqueId() {
        return UUID.randomUUID().toString().replace("-", "").substring(0, 2 * ID_BYTES);
    }
}
