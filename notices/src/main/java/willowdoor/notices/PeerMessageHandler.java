package willowdoor.notices;

import java.util.function.Consumer;

/**
 * Handles the messages of other front doors: about their streams, and in reply to messages about
 * the streams of this front door.
 */
final class PeerMessageHandler {
  private final ReplicaHolder self;
  private final StreamRelay relay;
  private final Consumer<Effect> effects;
  private final StreamRelay.Listener listener;
  private final NoticePublisher publishing;

  PeerMessageHandler(
      ReplicaHolder self,
      StreamRelay relay,
      NoticePublisher publishing,
      Consumer<Effect> effects,
      StreamRelay.Listener listener) {
    this.self = self;
    this.relay = relay;
    this.publishing = publishing;
    this.effects = effects;
    this.listener = listener;
  }

  void message(int peer, PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.Offer offer) {
      offer(peer, offer, nowMs);
    } else if (message instanceof PeerMessage.Begin begin) {
      begin(peer, begin, nowMs);
    } else if (message instanceof PeerMessage.Pass pass) {
      pass(peer, pass.notice(), nowMs);
    } else if (message instanceof PeerMessage.Gap gap) {
      Stream stream = remoteStream(gap.stream());
      if (stream != null && gap.to() > stream.last()) {
        relay.retained(stream.customer).gap(stream, gap.to(), nowMs);
        listener.appended(stream.customer, Notice.OVERHEAD, nowMs);
      }
    } else if (message instanceof PeerMessage.End end) {
      Stream stream = remoteStream(end.stream());
      if (stream != null
          && (stream.replicaHolder.member() == peer || !stream.replicaHolder.isAlive(relay.view()))
          && stream.last() >= end.last()) {
        stream.endKnown = true;
        stream.endConfirmed = true;
      }
    } else if (message instanceof PeerMessage.Fetch fetch) {
      reply(peer, relay.answer(fetch));
    } else {
      handleReply(peer, message, nowMs);
    }
  }

  private void handleReply(int peer, PeerMessage message, long nowMs) {
    PeerLink link = relay.linkTo(peer);
    if (link == null) {
      return;
    }
    if (message instanceof PeerMessage.Want want) {
      link.onWant(want, nowMs);
      publishing.onHave(peer, new PeerMessage.Have(want.stream(), want.after()), nowMs);
    } else if (message instanceof PeerMessage.Have have) {
      link.onHave(have, nowMs);
      publishing.onHave(peer, have, nowMs);
    } else if (message instanceof PeerMessage.Fetched fetched) {
      Stream stream = relay.stream(fetched.stream());
      if (stream != null) {
        listener.fetched(stream.customer, fetched, nowMs);
      }
    }
  }

  /**
   * Returns a stream of another front door, or null if the stream is unknown or this front door's
   * own.
   */
  private Stream remoteStream(StreamId id) {
    Stream stream = relay.stream(id);
    return stream == null || stream.own ? null : stream;
  }

  private void offer(int peer, PeerMessage.Offer offer, long nowMs) {
    Stream stream = relay.stream(offer.stream());
    RetainedNotices retained =
        stream != null || offer.replicaHolder().equals(self) || hasReaders(offer.customer())
            ? relay.retained(offer.customer())
            : null;
    if (retained == null
        || isOwn(offer.stream())
        || stream != null && stream.customer != offer.customer()) {
      return;
    }
    boolean fromOrigin = peer == offer.stream().member();
    if (stream == null) {
      PeerMessage.Want want =
          retained.wantFor(offer.stream(), offer.replicaHolder().equals(self), nowMs);
      if (want.ageMs() == PeerMessage.Want.UNSPECIFIED) {
        stream = relay.open(retained, offer.stream(), want.after(), false, nowMs);
      }
      reply(peer, want);
    } else {
      reply(peer, new PeerMessage.Want(stream.id, stream.last(), PeerMessage.Want.UNSPECIFIED));
    }
    if (stream != null && (fromOrigin || stream.replicaHolder.member() < 0)) {
      stream.replicaHolder = offer.replicaHolder();
    }
  }

  /**
   * Returns whether a stream belongs to this process, whichever peer mentions it. A stream of an
   * earlier process under the same number does not.
   */
  private boolean isOwn(StreamId id) {
    return id.member() == self.member() && id.generation() == self.generation();
  }

  private boolean hasReaders(long customer) {
    RetainedNotices retained = relay.retained(customer);
    return retained != null && retained.hasReaders();
  }

  private void begin(int peer, PeerMessage.Begin begin, long nowMs) {
    RetainedNotices retained = relay.retained(begin.customer());
    if (retained == null
        || isOwn(begin.stream())
        || relay.stream(begin.stream()) != null
        || !retained.hasReaders()) {
      return;
    }
    PeerMessage.Want want = retained.wantFor(begin.stream(), false, nowMs);
    if (want.after() == PeerMessage.Want.UNSPECIFIED || want.after() >= begin.after()) {
      relay.open(retained, begin.stream(), begin.after(), false, nowMs).replicaHolder =
          begin.replicaHolder();
    } else {
      // A reader has resumed here since the first request and needs earlier notices.
      reply(peer, want);
    }
  }

  private void pass(int peer, Notice notice, long nowMs) {
    Stream stream = remoteStream(notice.stream());
    if (stream == null || stream.customer != notice.customer()) {
      return;
    }
    if (notice.seq() == stream.last() + 1) {
      stream.append(notice, nowMs);
      relay.retained(stream.customer).append(notice, nowMs);
      listener.appended(stream.customer, notice.cost(), nowMs);
    } else if (notice.seq() > stream.last() + 1) {
      // A notice was lost on the way: request the stream again after the last notice held here.
      reply(peer, new PeerMessage.Want(stream.id, stream.last(), PeerMessage.Want.UNSPECIFIED));
      return;
    }
    reply(peer, new PeerMessage.Have(stream.id, stream.last()));
  }

  private void reply(int peer, PeerMessage message) {
    effects.accept(new Effect.Send(peer, message));
  }
}
