package io.cardamomshelf.entry;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.InstanceId;
import io.cardamomshelf.entry.settings.Settings;
import java.util.UUID;

/**
 * Who this process is: its name in the list, and the name of this run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the instance's name in the platform's list, not null
 * @param run this run's name; a restarted process has another, not null
 * @param dataCentre where it is, not null
 * @param region the data centre's region, not null
 */
record InstanceIdentity(String name, InstanceId run, DataCentreId dataCentre, String region) {

    private static final int RUN_LENGTH = 8;
    private static final int MAX_PREFIX = 50;

    static InstanceIdentity of(Settings settings) {
        String prefix = settings.instance();
        prefix = prefix.substring(0, Math.min(MAX_PREFIX, prefix.length()));
        InstanceId run = InstanceId.of(prefix + "." + unique());
        return new InstanceIdentity(
                settings.instance(), run, settings.dataCentre(), settings.region());
    }

    /** Returns a text that no other call on any instance returns. */
    static String unique() {
        return UUID.randomUUID().toString().replace("-", "").substring(0, 2 * RUN_LENGTH);
    }
}
