package elmsail.soak;

/** The kinds of faults of processes, machines and links. */
enum FaultKind {
  /** One process is killed and starts again. */
  KILL_PROCESS,
  /** All processes of a machine are killed and start again. */
  KILL_MACHINE,
  /** As before, and the machine's disk comes back empty. */
  LOSE_DISK,
  /** One process is suspended for a while. */
  SUSPEND,
  /** A machine is partitioned from all others. */
  PARTITION_MACHINE,
  /** All that a machine sends is lost. */
  DROP_OUTBOUND,
  /** All that others send to a machine is lost. */
  DROP_INBOUND,
  /** Two processes are partitioned from each other. */
  PARTITION_PAIR,
  /** One process's responses to another are lost for a while, then its connections are reset. */
  LOSE_RESPONSES;

  boolean affectsLinks() {
    return ordinal() >= PARTITION_MACHINE.ordinal();
  }

  boolean affectsPair() {
    return this == PARTITION_PAIR || this == LOSE_RESPONSES;
  }

  boolean affectsMachine() {
    return this == KILL_MACHINE
        || this == LOSE_DISK
        || this == PARTITION_MACHINE
        || this == DROP_OUTBOUND
        || this == DROP_INBOUND;
  }
}
