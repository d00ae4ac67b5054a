package elmsail.register;

import elmsail.inner.words.BlobAsk;
import elmsail.inner.words.BlobTold;
import elmsail.inner.words.Seating;
import elmsail.station.Code;

/** A blob from the nearest seat that has it; each next one is asked once the one before has none. */
final class BlobSearch extends Trying<byte[]> {
  /** A seat that is silent for so long is passed over, and its answer still taken. */
  private static final long NEXT_AFTER_MS = 250;
  private final String name;

  BlobSearch(RegisterClient client, String key, String name, long timeoutMs) {
    super(client, key, timeoutMs);
    this.name = name;
  }

  @Override
  Code codeIfOver() {
    return Code.NOT_REACHED;
  }

  @Override
  void attempt(Seating seating) {
    new Attempt(seating).next();
  }

  private final class Attempt {
    private final int number = number();
    private final Seating seating;
    private final int[] order;
    private int asked;
    private int answered;
    private int without;

    Attempt(Seating seating) {
      this.seating = seating;
      order = client.nearestFirst(seating);
    }

    void next() {
      if (!current(number) || asked == order.length) {
        return;
      }
      BlobAsk ask = new BlobAsk();
      ask.set = client.set();
      ask.key = key;
      ask.name = name;
      ask.seating = seating;
      int seat = order[asked++];
      if (!SeatingRules.counts(seating, seat)) {
        answered(null);
        return;
      }
      int atMost = asked;
      client.caller.call(seating.seats.get(seat).address, ask, BlobTold.class, callMs())
          .whenComplete((told, failure) -> answered(told));
      client.timers.after(NEXT_AFTER_MS, () -> {
        if (asked == atMost) {
          next();
        }
      });
    }

    private void answered(BlobTold told) {
      if (!current(number)) {
        if (told != null) {
          late(told.seating);
        }
        return;
      }
      answered++;
      if (told != null && told.known) {
        done(told.bytes);
        return;
      }
      if (told != null && renewed(seating, told.seating)) {
        return;
      }
      if (told != null && told.seated && ++without >= SeatingRules.blocking(order.length)) {
        done(null);
      } else if (answered == order.length) {
        backOff();
      } else {
        next();
      }
    }
  }
}
