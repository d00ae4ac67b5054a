package elmsail.notary;

import elmsail.inner.Answering;
import elmsail.inner.Caller;
import elmsail.inner.words.LeaseAsk;
import elmsail.inner.words.LeaseTold;
import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import elmsail.register.Register;
import elmsail.station.Code;
import elmsail.station.ElmsailException;
import elmsail.station.Timers;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one duty of the head office: asking the carrier and directing the vaults' seats. Whoever holds its
 * lease takes a new term from the register first; the list's epochs are these terms.
 */
final class Duty {
  static final String KEY = "duty";

  private static final Logger LOG = LoggerFactory.getLogger(Duty.class);
  private static final long LOOK_MS = 100;
  private static final long ASK_TIMEOUT_MS = 500;
  private static final long TERM_TIMEOUT_MS = 800;

  private final Caller caller;
  private final Timers timers;
  private final Register register;
  private final Supplier<Seating> head;
  private final String ownAddress;
  private final long who;
  private Lease lease;
  private long term;
  /** Counts the times that the lease was won: a term belongs to one of them. */
  private long won;
  private boolean taking;
  private boolean closed;

  /**
   * Makes one.
   *
   * @param who drawn anew at each start
   */
  Duty(Caller caller, Timers timers, Register register, Supplier<Seating> head, String ownAddress, long who) {
    this.caller = caller;
    this.timers = timers;
    this.register = register;
    this.head = head;
    this.ownAddress = ownAddress;
    this.who = who;
  }

  /** Answers the askers of the lease, while this process votes. */
  static void vote(Answering answering, Timers timers, LeaseVoter voter, BooleanSupplier seated) {
    answering.on(LeaseAsk.class, ask -> {
      if (!seated.getAsBoolean()) {
        return CompletableFuture.failedFuture(new ElmsailException(Code.NOT_SEATED, "no vote"));
      }
      LeaseTold told = new LeaseTold();
      if (ask.forMs <= 0) {
        voter.release(ask.who, ask.round, timers.now());
      } else {
        told.leftMs = voter.ask(ask.who, ask.round, timers.now());
        told.granted = told.leftMs == 0;
      }
      return CompletableFuture.completedFuture(told);
    });
  }

  void start() {
    if (closed) {
      return;
    }
    timers.after(LOOK_MS, this::start);
    Seating seating = head.get();
    int place = SeatingValues.seatOf(seating, ownAddress);
    if (place < 0) {
      return;
    }
    long now = timers.now();
    if (lease == null) {
      lease = new Lease(now, place);
    }
    if (term > 0 && !lease.held(now)) {
      term = 0;
      LOG.info("the duty's lease is lost");
    }
    long round = lease.begin(now, seating.seats.size());
    if (round != 0) {
      ask(round, seating);
    }
  }

  /** Sends the round, or the giving up of it where it is negative. */
  private void ask(long round, Seating seating) {
    LeaseAsk ask = new LeaseAsk();
    ask.duty = KEY;
    ask.who = who;
    ask.forMs = round > 0 ? LeaseVoter.LEASE_MS : 0;
    ask.round = Math.abs(round);
    for (int i = 0; i < seating.seats.size(); i++) {
      int voter = i;
      Seat seat = seating.seats.get(i);
      caller.call(seat.address, ask, LeaseTold.class, ASK_TIMEOUT_MS).thenAccept(told -> {
        if (closed || round < 0) {
          return;
        }
        long now = timers.now();
        if (!told.granted) {
          lease.refused(round, told.leftMs);
        } else if (lease.granted(round, voter, now)) {
          term = 0;
          won++;
          takeTerm();
        }
      });
    }
  }

  private void takeTerm() {
    if (taking || closed || !lease.held(timers.now())) {
      return;
    }
    taking = true;
    long inWon = won;
    long[] next = {0};
    register.change(KEY, found -> {
      next[0] = termOf(found.value()) + 1;
      return new Register.Wanted(ByteBuffer.allocate(16).putLong(next[0]).putLong(who).array(), List.of());
    }, List.of(), null, TERM_TIMEOUT_MS).whenComplete((held, failed) -> {
      taking = false;
      if (failed == null && held.changed() && inWon == won && lease.held(timers.now())) {
        term = next[0];
        LOG.info("holds the duty's lease, term {}", term);
      } else {
        timers.after(LOOK_MS, this::takeTerm);
      }
    });
  }

  private static long termOf(byte[] value) {
    return value == null ? 0 : ByteBuffer.wrap(value).getLong();
  }

  /** The term in which this process holds the duty at this very moment, or 0. */
  long term() {
    return lease != null && lease.held(timers.now()) ? term : 0;
  }

  /** Gives the lease up, so that another needn't wait for its end. */
  void close() {
    if (lease != null && !closed) {
      long round = lease.drop();
      if (round != 0) {
        ask(round, head.get());
      }
    }
    closed = true;
  }
}
