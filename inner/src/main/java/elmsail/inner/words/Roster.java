package elmsail.inner.words;

import java.util.ArrayList;
import java.util.List;

/** Who is there, as one notary sees it. */
public final class Roster {
  /** The notaries (voters on the configuration), the seats of set "head". */
  public Seating head = new Seating();
  /** The vaults' seats, set "shelf"; empty before there are any. */
  public Seating shelf = new Seating();
  /** Inner addresses of the clerks heard of lately. */
  public List<String> clerks = new ArrayList<>();
  /** A seat that the asking vault shall claim, or -1; and the incarnation to claim it with. */
  public int claimSeat = -1;
  public int claimIncarnation;
}
