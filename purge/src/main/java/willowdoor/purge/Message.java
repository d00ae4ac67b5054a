package willowdoor.purge;

import java.util.List;

/** Messages between gateways about leases and purges. */
sealed interface Message {

  /**
   * One process of a gateway; {@code boot} is a number from 1 to 2^32 - 1 that the process draws at
   * its start.
   */
  record HolderId(int member, long boot) implements Comparable<HolderId> {
    @Override
    public int compareTo(HolderId other) {
      return member != other.member
          ? Integer.compare(member, other.member)
          : Long.compare(boot, other.boot);
    }
  }

  /** A run of a purge; {@code coordinator} is the member that coordinates the run. */
  record Purge(long run, int coordinator, Scope scope) {}

  /** A purge id that a run serves, with the {@link Scope#prefixHash} of the requested scope. */
  record PurgeRequest(PurgeId id, int prefixHash) {}

  /**
   * How a purge ended.
   *
   * @param confirmed the number of holders that carried out the purge
   * @param ranOut the members whose lease had to expire, in ascending order; the first {@value
   *     #MAX_REPORTED} of them
   */
  record Result(int confirmed, List<Integer> ranOut) {
    static final int MAX_REPORTED = 64;

    public Result {
      ranOut = List.copyOf(ranOut);
    }
  }

  /**
   * A lease that an acceptor granted before it accepted a run, and the time for which the
   * acceptor's record of this lease still runs.
   */
  record OutstandingLease(HolderId holder, long remainingMs) {}

  enum Reason {
    NOT_READY,
    FULL,
    KEY_USED
  }

  enum State {
    DONE,
    OPEN,
    UNKNOWN,
    NOT_READY
  }

  /**
   * Holder to acceptor. {@code lastGrantNumber}: the number of the latest grant that the holder has
   * received from this acceptor, 0 before the first; {@code applied}: the runs of that acceptor's
   * last grant, which the holder has carried out.
   */
  record Renew(long boot, long number, long lastGrantNumber, List<Long> applied)
      implements Message {
    public Renew {
      applied = List.copyOf(applied);
    }
  }

  /**
   * Acceptor to holder. With {@code moreRuns} this message does not grant a lease yet: the holder
   * must first carry out further runs, or confirm that it receives grants.
   */
  record Grant(long boot, long number, boolean moreRuns, List<Purge> purges) implements Message {
    public Grant {
      purges = List.copyOf(purges);
    }
  }

  /** Coordinator to acceptor; {@code number} counts the transmissions of this run. */
  record Accept(Purge purge, int number, List<PurgeRequest> requests) implements Message {
    public Accept {
      requests = List.copyOf(requests);
    }
  }

  /**
   * Acceptor to coordinator: the acceptor holds the run since {@code acceptance}, a number that is
   * used once. {@code outstanding} lists the leases of the members of {@code page} that do not
   * cover the run.
   */
  record Accepted(
      long run, int number, long acceptance, int page, List<OutstandingLease> outstanding)
      implements Message {
    public Accepted {
      outstanding = List.copyOf(outstanding);
    }
  }

  /** Acceptor to coordinator; {@code id} is null unless the key was used with another prefix. */
  record Refused(long run, Reason reason, PurgeId id) implements Message {}

  /** Coordinator to gateway: requests that the run is carried out. */
  record Apply(Purge purge) implements Message {}

  /** Holder to coordinator: the holder does not serve any earlier answer that the run covers. */
  record Applied(long run, long boot) implements Message {}

  /** Coordinator to acceptor: the run is complete. */
  record Done(Purge purge, List<PurgeRequest> requests, Result result) implements Message {
    public Done {
      requests = List.copyOf(requests);
    }
  }

  /** Acceptor to coordinator: the acceptor has recorded that the run is complete. */
  record DoneAck(long run) implements Message {}

  /** Any gateway to acceptor: queries the status of a purge id. */
  record StatusQuery(long number, PurgeId id) implements Message {}

  /**
   * Acceptor to gateway: the reply to a {@link StatusQuery}. Scope and prefix hash are set for
   * {@code DONE} and {@code OPEN}, the result for {@code DONE}; otherwise they are null or 0. An
   * acceptor also sends this message, with number 0, if it receives an {@link Accept} for a purge
   * id that is done.
   */
  record StatusReply(
      long number, PurgeId id, State state, Scope scope, int prefixHash, Result result)
      implements Message {}
}
