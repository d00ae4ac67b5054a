package elmsail.register;

import elmsail.disk.Records;
import elmsail.disk.Records.Change;
import elmsail.inner.Answering;
import elmsail.inner.Caller;
import elmsail.inner.words.AcceptAsk;
import elmsail.inner.words.BlobAsk;
import elmsail.inner.words.BlobTold;
import elmsail.inner.words.ClaimAsk;
import elmsail.inner.words.ClaimTold;
import elmsail.inner.words.CopyAsk;
import elmsail.inner.words.CopyTold;
import elmsail.inner.words.PrepareAsk;
import elmsail.inner.words.ReadAsk;
import elmsail.inner.words.Seating;
import elmsail.inner.words.VoteTold;
import elmsail.station.Code;
import elmsail.station.ElmsailException;
import elmsail.station.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The voter's side of one set: records of its keys, its seating, and whether this process votes. An answer
 * leaves only once all that it relies on is safe on disk. One keeper at most for each {@link Answering}.
 */
public final class SetKeeper {
  private static final Logger LOG = LoggerFactory.getLogger(SetKeeper.class);

  private static final long REWRITE_MS = 300;
  private static final int MOST_PAGE_BYTES = 1 << 20;

  private final String set;
  private final Records records;
  private final Views views;
  private final Timers timers;
  final Membership membership;
  private final KeptNames names;
  private final SafeRecords safe;
  private final Newcomer newcomer;
  private final List<Runnable> watchers = new ArrayList<>();
  /** Whether the disk has, or is being given, the seating and {@code seated} as they are in memory. */
  private boolean membershipGiven = true;
  private boolean toldSeated;
  /** As it is on disk: what isn't safe is told to nobody, so that no claim is known that its maker forgot. */
  private Seating toldSeating;

  /** Reads its records; votes at once if this life was seated when it ended. */
  public SetKeeper(String set, Records records, Views views, Answering answering, Caller caller,
      Timers timers, String ownAddress, String station) {
    this.set = set;
    this.records = records;
    this.views = views;
    this.timers = timers;
    names = new KeptNames(set);
    safe = new SafeRecords(records, names);
    byte[] seated = records.read(names.seated());
    membership = new Membership(ownAddress, station, records.life(),
        SeatingBytes.seating(records.read(names.seating())), KeptNames.incarnation(seated));
    membership.spare(records.read(names.spare()) != null);
    newcomer = new Newcomer(set, this, membership, records, caller, timers);
    toldSeated = membership.seated();
    toldSeating = membership.seating();
    if (toldSeated) {
      tellValues();
    }
    answering.on(PrepareAsk.class, this::prepare);
    answering.on(AcceptAsk.class, this::accept);
    answering.on(ReadAsk.class, this::read);
    answering.on(BlobAsk.class, this::blob);
    answering.on(ClaimAsk.class, this::claimed);
    answering.on(CopyAsk.class, this::copied);
    timers.soon(newcomer::consider);
  }

  /**
   * The first seating of all: taken only while nothing is known here and if it names this life at incarnation
   * 1. A life ends with its disk's content, so one that is named so never voted before; it votes as soon as
   * this is on disk.
   */
  public void found(Seating founding) {
    int seat = SeatingRules.ofLife(founding, membership.life());
    if (membership.seating().seats.isEmpty() && seat >= 0
        && founding.seats.get(seat).incarnation == 1) {
      learn(founding);
    }
  }

  /** Whether it votes, and its disk says so. */
  public boolean seated() {
    return toldSeated && membership.seated();
  }

  /** As known here and safe; without seats if nothing is known. */
  public Seating seating() {
    return toldSeating;
  }

  /**
   * Merged by the higher incarnation of each seat, on disk before any vote that relies on it. Where another
   * life of this address or station holds a seat, that is claimed; where this life's seat is another's now,
   * it votes no more.
   */
  public void learn(Seating told) {
    if (membership.learn(told)) {
      seatingChanged();
    }
    newcomer.consider();
  }

  /** Takes over the seat of another; nothing happens if this process has or claims one, or knows of more. */
  public void claim(int seat, int incarnation) {
    newcomer.claim(seat, incarnation);
  }

  /** Forgets the key and its blobs: only for keys that nobody changes or reads any more. */
  public void drop(String key) {
    safe.drop(key);
    views.dropped(key);
  }

  /** Keys that have a record, also those that were only promised. */
  public Iterable<String> keys() {
    return names.keys(records);
  }

  /** The value accepted here last, decided or not; null if there is none. */
  public byte[] value(String key) {
    return safe.state(key).value();
  }

  /** Null if it isn't kept here. */
  public byte[] blob(String key, String name) {
    return records.read(names.blob(key, name));
  }

  /** Called on the loop after {@link #seated()} became another. */
  public void whenSeatedChanges(Runnable then) {
    watchers.add(then);
  }

  /** Before copying: what an earlier seat left, and what was copied by an earlier try. */
  void forget() {
    for (String key : keys()) {
      views.dropped(key);
    }
    safe.forget();
  }

  CompletableFuture<Void> write(List<Change> changes) {
    return safe.write(changes);
  }

  /** Writes the seating as it is now; the watchers hear at once if this process stopped voting by it. */
  CompletableFuture<Void> seatingChanged() {
    if (membership.founded()) {
      membership.caughtUp(1);
    }
    CompletableFuture<Void> written = writeMembership();
    if (!membership.seated()) {
      tellSeated();
    }
    return written;
  }

  /** All that had to be copied is on disk. */
  void caughtUp(int incarnation) {
    tellValues();
    membership.caughtUp(incarnation);
    membership.spare(false);
    writeMembership();
  }

  /** Both together: a vote is written behind them, so that a life that voted never takes itself for new. */
  private CompletableFuture<Void> writeMembership() {
    int caughtUp = membership.caughtUp();
    Seating given = membership.seating();
    CompletableFuture<Void> written = write(List.of(
        new Change(names.seating(), SeatingBytes.of(given)),
        new Change(names.seated(), caughtUp == 0 ? null : KeptNames.bytes(caughtUp)),
        new Change(names.spare(), membership.spare() ? KeptNames.bytes(1) : null)));
    membershipGiven = true;
    written.whenComplete((none, failure) -> {
      if (failure == null) {
        toldSeating = given;
        tellSeated();
      } else {
        membershipGiven = false;
        timers.after(REWRITE_MS, this::rewriteMembership);
        LOG.warn("{}: the seating could not be written: {}", set, ElmsailException.codeOf(failure));
      }
    });
    return written;
  }

  /** After a failed write, in time or before what relies on it. */
  private void rewriteMembership() {
    if (!membershipGiven) {
      writeMembership();
    }
  }

  private void tellSeated() {
    boolean seated = membership.seated();
    if (seated != toldSeated) {
      toldSeated = seated;
      LOG.info("{}: {}", set, seated ? "seated" : "not seated");
      for (Runnable watcher : watchers) {
        watcher.run();
      }
    }
  }

  private void tellValues() {
    for (String key : keys()) {
      byte[] value = value(key);
      if (value != null) {
        views.taken(key, value);
      }
    }
  }

  private CompletableFuture<VoteTold> prepare(PrepareAsk ask) {
    VoteTold refused = refusal(ask.set, ask.seating);
    if (refused != null) {
      return CompletableFuture.completedFuture(refused);
    }
    Acceptor.Decision decision = Acceptor.prepare(safe.state(ask.key), ask.ballot);
    if (decision.answer().code != VoteTold.DONE) {
      return CompletableFuture.completedFuture(decision.answer());
    }
    return safely(safe.changes(ask.key, decision, ask.blobs), () -> {
      if (ask.note != null) {
        decision.answer().note = views.noted(ask.key, ask.note);
      }
      return decision.answer();
    });
  }

  private CompletableFuture<VoteTold> accept(AcceptAsk ask) {
    VoteTold refused = refusal(ask.set, ask.seating);
    if (refused != null) {
      return CompletableFuture.completedFuture(refused);
    }
    Acceptor.Decision decision = Acceptor.accept(safe.state(ask.key), ask.ballot, ask.next, ask.value);
    if (decision.answer().code == VoteTold.DONE && decision.write() != null
        && !views.admits(ask.key, ask.value)) {
      VoteTold told = new VoteTold();
      told.code = VoteTold.NOT_ADMITTED;
      return CompletableFuture.completedFuture(told);
    }
    if (decision.answer().code != VoteTold.DONE) {
      return CompletableFuture.completedFuture(decision.answer());
    }
    return safely(safe.changes(ask.key, decision, ask.blobs), () -> {
      if (decision.write() != null) {
        views.taken(ask.key, ask.value);
      }
      return decision.answer();
    });
  }

  private CompletableFuture<VoteTold> read(ReadAsk ask) {
    VoteTold refused = refusal(ask.set, ask.seating);
    if (refused != null) {
      return CompletableFuture.completedFuture(refused);
    }
    VoteTold told = Acceptor.read(safe.state(ask.key), ask.known, ask.bare);
    return safely(List.of(), () -> told);
  }

  private CompletableFuture<BlobTold> blob(BlobAsk ask) {
    VoteTold refused = refusal(ask.set, ask.seating);
    BlobTold told = new BlobTold();
    told.seated = refused == null || membership.serves(refused.code, ask.ofReplaced);
    told.seating = refused == null ? told.seating : refused.seating;
    if (told.seated || refused.code == VoteTold.OLD_SEATING && membership.seated()) {
      told.bytes = blob(ask.key, ask.name);
      told.known = told.bytes != null;
    }
    return told.known ? safely(List.of(), () -> told) : CompletableFuture.completedFuture(told);
  }

  private CompletableFuture<ClaimTold> claimed(ClaimAsk ask) {
    if (!set.equals(ask.set)) {
      return CompletableFuture.failedFuture(new ElmsailException(Code.NOT_SEATED, ask.set));
    }
    rewriteMembership();
    Seating before = membership.seating();
    ClaimTold told = membership.answer(ask);
    if (membership.seating() != before) {
      LOG.info("{}: seat {} claimed by {}, incarnation {}", set, ask.seat, ask.holder.address,
          ask.holder.incarnation);
      seatingChanged();
    }
    return safely(List.of(), () -> {
      told.seating = toldSeating;
      return told;
    });
  }

  private CompletableFuture<CopyTold> copied(CopyAsk ask) {
    CopyTold told = new CopyTold();
    told.life = membership.life();
    told.end = true;
    VoteTold refused = set.equals(ask.set) ? refusal(ask.set, ask.seating) : new VoteTold();
    if (refused != null && !membership.serves(refused.code, ask.ofReplaced)) {
      return CompletableFuture.completedFuture(told);
    }
    told.seated = true;
    if (ask.bare) {
      names.barePage(records, ask.after, told);
    } else {
      names.page(records, ask.after, Math.min(Math.max(ask.mostBytes, 1), MOST_PAGE_BYTES), told);
    }
    return safely(List.of(), () -> told);
  }

  /** Null if an ask under that seating may be voted on; what it knows that is newer is taken first. */
  private VoteTold refusal(String askedSet, Seating asked) {
    if (!set.equals(askedSet)) {
      throw new ElmsailException(Code.NOT_SEATED, askedSet);
    }
    int code = membership.vote(asked);
    if (code != VoteTold.OLD_SEATING && SeatingRules.newer(asked, membership.seating())) {
      learn(asked);
      code = membership.vote(asked);
    }
    rewriteMembership();
    if (code == VoteTold.DONE) {
      return null;
    }
    VoteTold told = new VoteTold();
    told.code = code;
    told.seating = toldSeating;
    return told;
  }

  private <A> CompletableFuture<A> safely(List<Change> changes, Supplier<A> answer) {
    if (!membershipGiven) {
      return CompletableFuture.failedFuture(new ElmsailException(Code.DISK, "the seating is not on disk"));
    }
    return safe.safely(changes, answer);
  }
}
