package elmsail.soak;

/** What may befall processes, machines and links. */
enum FaultKind {
  /** One process is killed and starts again. */
  KILL_PROCESS,
  /** All processes of a machine are killed and start again. */
  KILL_MACHINE,
  /** As before, and the machine's disk comes back empty. */
  LOSE_DISK,
  /** One process is stopped for a while. */
  FREEZE,
  /** A machine reaches no other one, and no other one reaches it. */
  CUT_MACHINE,
  /** Nothing that a machine sends arrives. */
  CUT_SENDING,
  /** Nothing that others send a machine arrives. */
  CUT_RECEIVING,
  /** Two processes do not reach each other. */
  CUT_PAIR,
  /** What one process answers another is lost: cut for a while, then the connections are reset. */
  LOSE_ANSWERS;

  boolean ofLinks() {
    return ordinal() >= CUT_MACHINE.ordinal();
  }

  boolean ofPair() {
    return this == CUT_PAIR || this == LOSE_ANSWERS;
  }

  boolean ofMachine() {
    return this == KILL_MACHINE
        || this == LOSE_DISK
        || this == CUT_MACHINE
        || this == CUT_SENDING
        || this == CUT_RECEIVING;
  }
}
