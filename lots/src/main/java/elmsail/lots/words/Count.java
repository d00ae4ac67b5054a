package elmsail.lots.words;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Waiting tokens of a route's lots, as one keeper has them or as the union of several: per lot the entry of
 * the highest version. A lot about to be accepted stands in it with version 0.
 */
public final class Count {
  private final Map<Long, long[]> lots = new HashMap<>();

  /**
   * What a door says with a first round: this lot is about to wait on that route with so many tokens.
   *
   * @param who drawn for this try, so that a withdrawal takes back no other's add
   */
  public record Add(String route, String lot, long tokens, long who) {
    public byte[] packed() {
      return new Packer().text(route).text(lot).number(tokens).number(who).packed();
    }

    public static Add unpacked(byte[] bytes) {
      Unpacker from = new Unpacker(bytes);
      return new Add(from.text(), from.text(), from.number(), from.number());
    }
  }

  /** Of equal versions the larger number of tokens stays. */
  public void put(long lotDigest, long version, long tokens) {
    long[] there = lots.get(lotDigest);
    if (there == null || version > there[0] || version == there[0] && tokens > there[1]) {
      lots.put(lotDigest, new long[] {version, tokens});
    }
  }

  /** Takes what keepers told; null is one that had nothing to tell. */
  public void putAll(List<byte[]> told) {
    for (byte[] one : told) {
      if (one != null) {
        Unpacker from = new Unpacker(one);
        for (int left = from.count(); left > 0; left--) {
          put(from.number(), from.number(), from.number());
        }
      }
    }
  }

  /** Tokens of all lots but this one. */
  public long without(String lot) {
    long own = Digest.of(lot);
    long sum = 0;
    for (Map.Entry<Long, long[]> one : lots.entrySet()) {
      sum += one.getKey() == own ? 0 : one.getValue()[1];
    }
    return sum;
  }

  public byte[] packed() {
    Packer to = new Packer().number(lots.size());
    for (Map.Entry<Long, long[]> one : lots.entrySet()) {
      to.number(one.getKey()).number(one.getValue()[0]).number(one.getValue()[1]);
    }
    return to.packed();
  }
}
