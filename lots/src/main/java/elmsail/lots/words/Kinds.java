package elmsail.lots.words;

import elmsail.inner.words.Note;

/** The kinds of notes about lots, and their making. */
public final class Kinds {
  /** Door to keeper: a {@code Beat}; answered with a number for each lot in its order. */
  public static final String BEAT = "lots/beat";
  /** Door to keeper: how many ms unheard; answered with {@code Orphan}s. */
  public static final String ORPHANS = "lots/orphans";
  /** Door to keeper: the lot's add is off, as it was refused. */
  public static final String WITHDRAW = "lots/withdraw";
  /** Door to door: a lot that the other runs was ended. */
  public static final String ENDED = "lots/ended";
  /** The answer of a keeper that has no say at present. */
  public static final String NOT_SEATED = "lots/not-seated";

  private Kinds() {
  }

  public static Note note(String kind, byte[] bytes) {
    Note note = new Note();
    note.kind = kind;
    note.bytes = bytes;
    return note;
  }
}
