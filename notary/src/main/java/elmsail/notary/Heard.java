package elmsail.notary;

import elmsail.inner.words.PullAsk;
import elmsail.inner.words.Seating;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/** Who has asked this notary for what is new, and when last; at most {@value #MOST} of each role. */
final class Heard {
  private static final int MOST = 1_000;

  /** A vault as its last pull told of it; times are steady ms. */
  record Vault(String address, String station, String zone, long life, boolean seated, Seating shelf,
      long firstAt, long lastAt) {
  }

  private final TreeMap<String, Vault> vaults = new TreeMap<>();
  private final TreeMap<String, Long> clerks = new TreeMap<>();

  void note(PullAsk ask, long now) {
    if ("vault".equals(ask.role)) {
      Vault before = vaults.get(ask.address);
      if (before != null || vaults.size() < MOST) {
        Seating shelf = ask.shelf == null ? new Seating() : ask.shelf;
        long first = before == null || before.life != ask.life ? now : before.firstAt;
        vaults.put(ask.address,
            new Vault(ask.address, ask.station, ask.zone, ask.life, ask.seated, shelf, first, now));
      }
    } else if ("clerk".equals(ask.role) && (clerks.containsKey(ask.address) || clerks.size() < MOST)) {
      clerks.put(ask.address, now);
    }
  }

  /** In the order of their addresses; all that were ever heard in this life. */
  Collection<Vault> vaults() {
    return vaults.values();
  }

  /** Null if it was never heard. */
  Vault vault(String address) {
    return vaults.get(address);
  }

  /** Null if it was never heard. */
  Vault station(String name) {
    Vault found = null;
    for (Vault vault : vaults.values()) {
      if (vault.station().equals(name) && (found == null || vault.lastAt() > found.lastAt())) {
        found = vault;
      }
    }
    return found;
  }

  /** Addresses of the clerks heard within so many ms, in order. */
  List<String> clerks(long now, long withinMs) {
    List<String> lately = new ArrayList<>();
    clerks.values().removeIf(at -> now - at > 60_000);
    clerks.forEach((address, at) -> {
      if (now - at <= withinMs) {
        lately.add(address);
      }
    });
    return lately;
  }
}
