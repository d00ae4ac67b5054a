package elmsail.lots.words;

import java.util.ArrayList;
import java.util.List;

/** What a door says to a keeper of the lots it runs, twice a second, and what it is told of each. */
public record Beat(String door, List<Run> runs) {
  /** The keeper holds the lot as open and run by this door in this term. */
  public static final int YOURS = 1;
  /** The lot is ended, or another door runs it. */
  public static final int GONE = 2;
  /** This keeper has not heard of it, or only of older terms: it says nothing. */
  public static final int UNKNOWN = 0;

  /** One lot that the door runs. */
  public record Run(String lot, long term) {
  }

  public byte[] packed() {
    Packer to = new Packer().text(door).number(runs.size());
    for (Run run : runs) {
      to.text(run.lot()).number(run.term());
    }
    return to.packed();
  }

  public static Beat unpacked(byte[] bytes) {
    Unpacker from = new Unpacker(bytes);
    String door = from.text();
    int count = from.count();
    List<Run> runs = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      runs.add(new Run(from.text(), from.number()));
    }
    return new Beat(door, runs);
  }
}
