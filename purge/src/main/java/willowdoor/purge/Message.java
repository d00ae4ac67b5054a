package willowdoor.purge;

import java.util.List;

/** What front doors say to each other about leases and purges. */
sealed interface Message {

  /** One process of a front door; {@code boot} is drawn at its start, 1 to 2^32 - 1. */
  record HolderId(int member, long boot) implements Comparable<HolderId> {
    @Override
    public int compareTo(HolderId other) {
      return member != other.member
          ? Integer.compare(member, other.member)
          : Long.compare(boot, other.boot);
    }
  }

  /** A run of a purge; {@code from} is the member that coordinates it. */
  record Purge(long run, int coordinator, Scope scope) {}

  /** An id that a run serves, with {@link Scope#prefixHash} of what was asked under it. */
  record PurgeRequest(PurgeId id, int prefixHash) {}

  /**
   * How a purge ended.
   *
   * @param confirmed how many holders carried it out
   * @param ranOut members of which a lease had to run out, in order; the first {@value
   *     #MAX_REPORTED} of them
   */
  record Result(int confirmed, List<Integer> ranOut) {
    static final int MAX_REPORTED = 64;

    public Result {
      ranOut = List.copyOf(ranOut);
    }
  }

  /**
   * A lease that a keeper granted before it accepted a run, and how long its record of it still
   * runs.
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
   * Holder to keeper. {@code heard}: the number of this keeper's latest answer, 0 before any;
   * {@code applied}: the runs of its last grant, which are carried out.
   */
  record Renew(long boot, long number, long lastGrantNumber, List<Long> applied)
      implements Message {
    public Renew {
      applied = List.copyOf(applied);
    }
  }

  /**
   * Keeper to holder. With {@code more} it is no lease yet: further runs are to be carried out
   * first.
   */
  record Grant(long boot, long number, boolean moreRuns, List<Purge> purges) implements Message {
    public Grant {
      purges = List.copyOf(purges);
    }
  }

  /** Coordinator to keeper; {@code number} counts the sendings of this run. */
  record Accept(Purge purge, int number, List<PurgeRequest> requests) implements Message {
    public Accept {
      requests = List.copyOf(requests);
    }
  }

  /**
   * Keeper to coordinator: it holds the run since {@code acceptance}, a number used once, and of
   * the members of {@code page} these have leases that do not carry it.
   */
  record Accepted(
      long run, int number, long acceptance, int page, List<OutstandingLease> outstanding)
      implements Message {
    public Accepted {
      outstanding = List.copyOf(outstanding);
    }
  }

  /**
   * Keeper to coordinator; {@code id} is null except for a key that was used with another prefix.
   */
  record Refused(long run, Reason reason, PurgeId id) implements Message {}

  /** Coordinator to front door. */
  record Apply(Purge purge) implements Message {}

  /** Holder to coordinator: nothing that it kept before and the run covers is served any more. */
  record Applied(long run, long boot) implements Message {}

  /** Coordinator to keeper: the run is complete. */
  record Done(Purge purge, List<PurgeRequest> requests, Result result) implements Message {
    public Done {
      requests = List.copyOf(requests);
    }
  }

  /** Keeper to coordinator: it has noted that the run is done. */
  record DoneAck(long run) implements Message {}

  /** Any front door to keeper: what is known of an id? */
  record StatusQuery(long number, PurgeId id) implements Message {}

  /**
   * The answer; scope and mark come with {@code DONE} and {@code OPEN}, the result with {@code
   * DONE}, else null.
   */
  record StatusReply(
      long number, PurgeId id, State state, Scope scope, int prefixHash, Result result)
      implements Message {}
}
