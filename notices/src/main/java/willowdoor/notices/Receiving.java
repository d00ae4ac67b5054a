package willowdoor.notices;

import java.util.function.Consumer;

/** What other front doors say of their streams, and what they answer to this one's. */
final class Receiving {
  private final Keeper self;
  private final Passing passing;
  private final Consumer<Effect> effects;
  private final Passing.Watcher watcher;
  private final Publishing publishing;

  Receiving(
      Keeper self,
      Passing passing,
      Publishing publishing,
      Consumer<Effect> effects,
      Passing.Watcher watcher) {
    this.self = self;
    this.passing = passing;
    this.publishing = publishing;
    this.effects = effects;
    this.watcher = watcher;
  }

  void message(int peer, PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.Offer offer) {
      offer(peer, offer, nowMs);
    } else if (message instanceof PeerMessage.Begin begin) {
      begin(peer, begin, nowMs);
    } else if (message instanceof PeerMessage.Pass pass) {
      pass(peer, pass.notice(), nowMs);
    } else if (message instanceof PeerMessage.Gap gap) {
      Stream stream = others(gap.stream());
      if (stream != null && gap.to() > stream.last()) {
        passing.retained(stream.customer).gap(stream, gap.to(), nowMs);
        watcher.appended(stream.customer, Notice.OVERHEAD, nowMs);
      }
    } else if (message instanceof PeerMessage.End end) {
      Stream stream = others(end.stream());
      if (stream != null
          && (stream.keeper.member() == peer || !stream.keeper.there(passing.view()))
          && stream.last() >= end.last()) {
        stream.ended = true;
        stream.complete = true;
      }
    } else if (message instanceof PeerMessage.Fetch fetch) {
      reply(peer, passing.answer(fetch));
    } else {
      back(peer, message, nowMs);
    }
  }

  private void back(int peer, PeerMessage message, long nowMs) {
    PeerLink link = passing.linkTo(peer);
    if (link == null) {
      return;
    }
    if (message instanceof PeerMessage.Want want) {
      link.want(want, nowMs);
      publishing.have(peer, new PeerMessage.Have(want.stream(), want.after()), nowMs);
    } else if (message instanceof PeerMessage.Have have) {
      link.have(have, nowMs);
      publishing.have(peer, have, nowMs);
    } else if (message instanceof PeerMessage.Fetched fetched) {
      Stream stream = passing.stream(fetched.stream());
      if (stream != null) {
        watcher.fetched(stream.customer, fetched, nowMs);
      }
    }
  }

  /** A stream that is another's; null where it is not known, or this front door's own. */
  private Stream others(StreamId id) {
    Stream stream = passing.stream(id);
    return stream == null || stream.own ? null : stream;
  }

  private void offer(int peer, PeerMessage.Offer offer, long nowMs) {
    Stream stream = passing.stream(offer.stream());
    Retained retained =
        stream != null || offer.keeper().equals(self) || readers(offer.customer())
            ? passing.retained(offer.customer())
            : null;
    if (retained == null
        || own(offer.stream())
        || stream != null && stream.customer != offer.customer()) {
      return;
    }
    boolean fromTaker = peer == offer.stream().member();
    if (stream == null) {
      PeerMessage.Want want = retained.want(offer.stream(), offer.keeper().equals(self), nowMs);
      if (want.ageMs() == PeerMessage.Want.NO_MATTER) {
        stream = passing.open(retained, offer.stream(), want.after(), false, nowMs);
      }
      reply(peer, want);
    } else {
      reply(peer, new PeerMessage.Want(stream.id, stream.last(), PeerMessage.Want.NO_MATTER));
    }
    if (stream != null && (fromTaker || stream.keeper.member() < 0)) {
      stream.keeper = offer.keeper();
    }
  }

  /**
   * Whether a stream is this process's, whoever speaks of it; one of a process before it is
   * another's.
   */
  private boolean own(StreamId id) {
    return id.member() == self.member() && id.generation() == self.generation();
  }

  private boolean readers(long customer) {
    Retained retained = passing.retained(customer);
    return retained != null && retained.hasReaders();
  }

  private void begin(int peer, PeerMessage.Begin begin, long nowMs) {
    Retained retained = passing.retained(begin.customer());
    if (retained == null
        || own(begin.stream())
        || passing.stream(begin.stream()) != null
        || !retained.hasReaders()) {
      return;
    }
    PeerMessage.Want want = retained.want(begin.stream(), false, nowMs);
    if (want.after() == PeerMessage.Want.NO_MATTER || want.after() >= begin.after()) {
      passing.open(retained, begin.stream(), begin.after(), false, nowMs).keeper = begin.keeper();
    } else {
      // A reader has resumed here since this was asked for, and needs more.
      reply(peer, want);
    }
  }

  private void pass(int peer, Notice notice, long nowMs) {
    Stream stream = others(notice.stream());
    if (stream == null || stream.customer != notice.customer()) {
      return;
    }
    if (notice.seq() == stream.last() + 1) {
      stream.append(notice, nowMs);
      passing.retained(stream.customer).list(notice, nowMs);
      watcher.appended(stream.customer, notice.cost(), nowMs);
    } else if (notice.seq() > stream.last() + 1) {
      // Something on the way went missing: begin again from what is here.
      reply(peer, new PeerMessage.Want(stream.id, stream.last(), PeerMessage.Want.NO_MATTER));
      return;
    }
    reply(peer, new PeerMessage.Have(stream.id, stream.last()));
  }

  private void reply(int peer, PeerMessage message) {
    effects.accept(new Effect.Send(peer, message));
  }
}
