package willowdoor.members;

import java.io.IOException;

/**
 * The settings under {@code members}.
 *
 * @param self this front door's index in the roster
 * @param holdMs how long a member must be absent before routing and limits exclude it, see {@link
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
