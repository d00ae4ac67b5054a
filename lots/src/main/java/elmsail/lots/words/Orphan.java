package elmsail.lots.words;

import java.util.ArrayList;
import java.util.List;

/**
 * An open lot of which a keeper has heard nothing from its runner.
 *
 * @param unheardMs for how long, and since this keeper's start at most
 */
public record Orphan(String lot, long term, long unheardMs) {

  public static byte[] packed(List<Orphan> orphans) {
    Packer to = new Packer().number(orphans.size());
    for (Orphan one : orphans) {
      to.text(one.lot()).number(one.term()).number(one.unheardMs());
    }
    return to.packed();
  }

  public static List<Orphan> unpacked(byte[] bytes) {
    Unpacker from = new Unpacker(bytes);
    int count = from.count();
    List<Orphan> orphans = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      orphans.add(new Orphan(from.text(), from.number(), from.number()));
    }
    return orphans;
  }
}
