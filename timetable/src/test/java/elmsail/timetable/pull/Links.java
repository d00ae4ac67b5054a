package elmsail.timetable.pull;

import elmsail.inner.Caller;
import elmsail.inner.words.PullAsk;
import elmsail.inner.words.PullTold;
import elmsail.rehearsal.HandTimers;
import elmsail.station.Code;
import elmsail.station.ElmsailException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Links of 5 ms each way between a puller and notaries that tests cut, end and replace. */
final class Links implements Caller {
  private static final long ONE_WAY_MS = 5;

  /** One ask that left the puller. */
  record Sent(String peer, long at, PullAsk ask) {
  }

  final Map<String, Function<PullAsk, CompletableFuture<PullTold>>> notaries = new HashMap<>();
  final Set<String> cutThere = new HashSet<>();
  final Set<String> cutBack = new HashSet<>();
  final List<Sent> sent = new ArrayList<>();
  private final HandTimers timers;

  Links(HandTimers timers) {
    this.timers = timers;
  }

  Sources notary(String address) {
    Sources sources = new Sources(timers);
    notaries.put(address, sources::ask);
    return sources;
  }

  List<Long> times(String peer) {
    List<Long> times = new ArrayList<>();
    for (Sent one : sent) {
      if (one.peer().equals(peer)) {
        times.add(one.at());
      }
    }
    return times;
  }

  PullAsk last(String peer) {
    PullAsk last = null;
    for (Sent one : sent) {
      last = one.peer().equals(peer) ? one.ask() : last;
    }
    return last;
  }

  @Override
  public <A> CompletableFuture<A> call(String peer, Object ask, Class<A> answer, long timeoutMs) {
    CompletableFuture<A> future = new CompletableFuture<>();
    sent.add(new Sent(peer, timers.now(), (PullAsk) ask));
    timers.after(timeoutMs, () -> future.completeExceptionally(new ElmsailException(Code.SILENT, peer)));
    if (cutThere.contains(peer)) {
      return future;
    }
    timers.after(ONE_WAY_MS, () -> {
      Function<PullAsk, CompletableFuture<PullTold>> notary = notaries.get(peer);
      if (notary == null) {
        future.completeExceptionally(new ElmsailException(Code.UNSENT, peer));
        return;
      }
      notary.apply((PullAsk) ask).thenAccept(told -> timers.after(ONE_WAY_MS, () -> {
        if (!cutBack.contains(peer)) {
          future.complete(answer.cast(told));
        }
      }));
    });
    return future;
  }
}
