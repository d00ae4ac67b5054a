package elmsail.register;

import elmsail.inner.words.AcceptAsk;
import elmsail.inner.words.Ballot;
import elmsail.inner.words.Blob;
import elmsail.inner.words.PrepareAsk;
import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import elmsail.inner.words.VoteTold;
import elmsail.register.Register.Found;
import elmsail.register.Register.Held;
import elmsail.register.Register.Versioned;
import elmsail.register.Register.Wanted;
import elmsail.station.Code;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** One change of a key: prepare and accept at a majority, again until one attempt decides. */
final class Changing extends Trying<Held> {
  private static final int MOST_NOT_ADMITTED = 2;

  private final Function<Found, Wanted> change;
  private final List<Blob> blobs;
  private final byte[] note;
  private boolean acceptSent;
  private int notAdmitted;
  private int outbid;

  Changing(RegisterClient client, String key, Function<Found, Wanted> change, List<Blob> blobs, byte[] note,
      long timeoutMs) {
    super(client, key, timeoutMs);
    this.change = change;
    this.blobs = blobs;
    this.note = note;
  }

  @Override
  Code codeIfOver() {
    return acceptSent ? Code.UNCLEAR : Code.NOT_REACHED;
  }

  @Override
  void attempt(Seating seating) {
    RegisterClient.Kept kept = note == null ? client.takeKept(key) : null;
    if (kept != null && kept.next() != null && SeatingRules.same(kept.seating(), seating)) {
      Wanted wanted = wanted(new Found(kept.value(), List.of()));
      if (over()) {
        return;
      }
      if (wanted.value() != null) {
        new Attempt(seating, kept.next(), true).accept(wanted.value(), true, wanted.blobs());
        return;
      }
      // What was kept may be old: a change is declined only on what a majority tells.
      client.keep(key, new RegisterClient.Kept(null, new Ballot(), null, seating));
    }
    new Attempt(seating, client.nextBallot(), kept != null).prepare();
  }

  private Wanted wanted(Found found) {
    try {
      return change.apply(found);
    } catch (RuntimeException e) {
      failed(e);
      return null;
    }
  }

  /** One ballot: both its rounds are under one seating. */
  private final class Attempt {
    private final int number = number();
    private final Seating seating;
    private final int seats;
    private final int majority;
    private final Ballot ballot;
    /** Whether this client changed the key before, so that it may well do so again. */
    private final boolean repeated;
    private final VoteTold[] promises;
    private final boolean[] answered;
    private final boolean[] acceptSentTo;
    private boolean prepared;
    private boolean accepting;
    private AcceptAsk accept;
    private List<Blob> acceptBlobs = List.of();
    private boolean changed;
    private int done;
    private int refused;
    private int refusedAdmission;
    private int promisedNext;

    Attempt(Seating seating, Ballot ballot, boolean repeated) {
      this.seating = seating;
      this.ballot = ballot;
      this.repeated = repeated;
      seats = seating.seats.size();
      majority = SeatingRules.majority(seats);
      promises = new VoteTold[seats];
      answered = new boolean[seats];
      acceptSentTo = new boolean[seats];
      for (int i = 0; i < seats; i++) {
        acceptSentTo[i] = !SeatingRules.counts(seating, i);
      }
      refused = SeatingRules.vacant(seating);
    }

    void prepare() {
      prepared = true;
      for (int i = 0; i < seats; i++) {
        if (!SeatingRules.counts(seating, i)) {
          continue;
        }
        PrepareAsk ask = new PrepareAsk();
        ask.set = client.set();
        ask.key = key;
        ask.ballot = ballot;
        ask.seating = seating;
        ask.blobs = blobs;
        ask.note = note;
        int seat = i;
        client.caller.call(seating.seats.get(i).address, ask, VoteTold.class, callMs())
            .whenComplete((told, failure) -> prepared(seat, told));
      }
    }

    private void prepared(int seat, VoteTold told) {
      answered[seat] = true;
      boolean yes = told != null && told.code == VoteTold.DONE;
      if (told != null) {
        client.seen(told.promised);
        client.seen(told.accepted);
      }
      if (accepting && number == number()) {
        // It is behind the majority's promises: its accept waited for this, so as not to send blobs twice.
        sendAccept(seat, yes);
        return;
      }
      if (!current(number)) {
        late(told);
        return;
      }
      if (accepting || renewed(seating, told)) {
        return;
      }
      if (yes) {
        promises[seat] = told;
        if (++done >= majority) {
          choose();
        }
      } else if (++refused > seats - majority) {
        retry(told);
      }
    }

    private void retry(VoteTold last) {
      if (last != null && last.code == VoteTold.OUTBID && outbid++ == 0) {
        again();
      } else {
        backOff();
      }
    }

    private void choose() {
      VoteTold highest = null;
      List<byte[]> notes = new ArrayList<>();
      for (VoteTold told : promises) {
        if (told == null) {
          continue;
        }
        if (highest == null || Ballots.compare(told.accepted, highest.accepted) > 0) {
          highest = told;
        }
        if (told.note != null) {
          notes.add(told.note);
        }
      }
      Wanted wanted = wanted(new Found(highest.value, notes));
      if (over()) {
        return;
      }
      if (wanted.value() != null) {
        accept(wanted.value(), true, wanted.blobs());
      } else if (Ballots.none(highest.accepted) || takenByMajority(highest.accepted)) {
        done(new Held(new Versioned(highest.accepted, highest.value), false));
      } else {
        accept(highest.value, false, List.of());
      }
    }

    private boolean takenByMajority(Ballot accepted) {
      int same = 0;
      for (VoteTold told : promises) {
        if (told != null && !told.copied && Ballots.same(told.accepted, accepted)) {
          same++;
        }
      }
      return same >= majority;
    }

    /** Second round. What was prepared with blobs is taken only where these are kept as well. */
    void accept(byte[] value, boolean changing, List<Blob> more) {
      accepting = true;
      acceptSent = true;
      changed = changing;
      done = 0;
      refused = SeatingRules.vacant(seating);
      accept = new AcceptAsk();
      accept.set = client.set();
      accept.key = key;
      accept.ballot = ballot;
      accept.seating = seating;
      accept.value = value;
      if (repeated) {
        accept.next = client.promiseAfter(ballot);
      }
      acceptBlobs = more == null ? List.of() : more;
      for (int i = 0; i < seats; i++) {
        if (promises[i] != null) {
          sendAccept(i, true);
        } else if (blobs.isEmpty() || answered[i] || !prepared) {
          sendAccept(i, false);
        }
      }
    }

    private void sendAccept(int seat, boolean hasBlobs) {
      if (acceptSentTo[seat]) {
        return;
      }
      acceptSentTo[seat] = true;
      AcceptAsk ask = accept;
      List<Blob> sent = acceptBlobs;
      if (!hasBlobs && !blobs.isEmpty()) {
        sent = new ArrayList<>(blobs);
        sent.addAll(acceptBlobs);
      }
      if (!sent.isEmpty()) {
        ask = new AcceptAsk();
        ask.set = accept.set;
        ask.key = accept.key;
        ask.ballot = accept.ballot;
        ask.next = accept.next;
        ask.value = accept.value;
        ask.seating = accept.seating;
        ask.blobs = sent;
      }
      Seat to = seating.seats.get(seat);
      client.caller.call(to.address, ask, VoteTold.class, callMs())
          .whenComplete((told, failure) -> accepted(told));
    }

    private void accepted(VoteTold told) {
      boolean yes = told != null && told.code == VoteTold.DONE;
      if (told != null) {
        client.seen(told.promised);
      }
      if (yes && !Ballots.none(accept.next) && Ballots.same(told.promised, accept.next)) {
        promisedNext++;
      }
      if (!current(number)) {
        late(told);
        return;
      }
      if (yes) {
        if (++done >= majority) {
          Ballot next = promisedNext >= majority ? accept.next : null;
          client.keep(key, new RegisterClient.Kept(next, ballot, accept.value, seating));
          done(new Held(new Versioned(ballot, accept.value), changed));
        }
        return;
      }
      if (renewed(seating, told)) {
        return;
      }
      refused++;
      if (told != null && told.code == VoteTold.NOT_ADMITTED) {
        refusedAdmission++;
      }
      if (refused <= seats - majority) {
        return;
      }
      if (refusedAdmission > 0 && notAdmitted++ >= MOST_NOT_ADMITTED) {
        failed(RegisterClient.failure(Code.UNCLEAR, client.set(), key));
      } else {
        retry(told);
      }
    }
  }
}
