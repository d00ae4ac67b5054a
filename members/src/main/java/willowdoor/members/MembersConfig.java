package willowdoor.members;

import java.io.IOException;

/**
 * What is configured under {@code members}.
 *
 * @param self this front door's place in the roster
 * @param holdMs after how long an absent member is left out of what routing goes by, see {@link
 *     WorkAllocation}
 */
record MembersConfig(Roster roster, int self, Timing timing, long holdMs) {

  static MembersConfig of(Object configured) throws IOException {
    ConfigObject fields = new ConfigObject(configured, "members");
    Roster roster = Roster.read(fields);
    MembersConfig config =
        new MembersConfig(
            roster,
            roster.indexOf(fields, "self"),
            Timing.read(fields.child("timing")),
            fields.integer("hold_ms", 100, 3_600_000, 10_000));
    fields.requireAllKeysRead();
    return config;
  }
}
